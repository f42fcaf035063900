package io.sequoiawheel.daemon.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.DocumentFault
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.stream.ResumeHandleCodec
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.URI
import java.util.Base64

/** Parses and validates settings. All faults are reported together, each with its path and the allowed values. */
object SettingsReader {
    private const val MAXIMUM_PORT = 65_535
    private const val MAXIMUM_BYTES = 1_073_741_824
    private const val MAXIMUM_REQUESTS = 1_000_000
    private val addressPattern = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")
    private val namePattern = Regex("[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?")

    /** Parses [text], or returns `INVALID_SETTINGS` with the faults in its detail. */
    fun read(text: String): Either<Failure, DaemonSettings> {
        val element =
            try {
                Json.parseToJsonElement(text)
            } catch (error: SerializationException) {
                return failure(listOf(DocumentFault("$", "must be a JSON object: ${firstLine(error)}"))).left()
            }
        val structureFaults = JsonStructureValidator.validate(DaemonSettings.serializer().descriptor, element)
        if (structureFaults.isNotEmpty()) return failure(structureFaults).left()
        val settings =
            try {
                Json.decodeFromJsonElement(DaemonSettings.serializer(), element)
            } catch (error: IllegalArgumentException) {
                return failure(listOf(DocumentFault.ofParseError(error))).left()
            }
        val faults = validate(settings)
        return if (faults.isEmpty()) settings.right() else failure(faults).left()
    }

    private fun firstLine(error: Exception) =
        error.message
            .orEmpty()
            .lineSequence()
            .first()

    private fun failure(faults: List<DocumentFault>) =
        Failure(ResultCode.INVALID_SETTINGS, faults.joinToString("; ") { "${it.path}: ${it.problem}" })

    private fun validate(settings: DaemonSettings): List<DocumentFault> =
        buildList {
            checkName(settings.instanceId.value, "$.instanceId")
            checkName(settings.region, "$.region")
            checkName(settings.zone.value, "$.zone")
            checkEndpoint(settings.listen, "$.listen")
            checkEndpoint(settings.peer, "$.peer")
            checkPlatform(settings)
            if (!isValidResumeKey(settings.resumeKey)) {
                addFault("$.resumeKey", "must be base64 of at least ${ResumeHandleCodec.MINIMUM_KEY_BYTES} bytes")
            }
            checkLimits(settings.limits)
        }

    private fun MutableList<DocumentFault>.checkPlatform(settings: DaemonSettings) {
        val platform = settings.platform
        checkUrl(platform.objectApi, "$.platform.objectApi")
        checkUrl(platform.instanceList, "$.platform.instanceList")
        checkUrl(platform.weightStore, "$.platform.weightStore")
        checkPositive(platform.connectTimeoutMillis, "$.platform.connectTimeoutMillis")
        checkPositive(platform.requestTimeoutMillis, "$.platform.requestTimeoutMillis")
        checkPositive(platform.callBurst.toLong(), "$.platform.callBurst")
        if (platform.callsPerSecond <= 0) addFault("$.platform.callsPerSecond", "must be greater than 0")
    }

    private fun MutableList<DocumentFault>.checkLimits(limits: DaemonSettings.Limits) {
        checkRange(limits.bodyBytes, 1..MAXIMUM_BYTES, "$.limits.bodyBytes")
        checkRange(limits.headerBytes, 1..MAXIMUM_BYTES, "$.limits.headerBytes")
        checkRange(limits.wholeAnswerBytes, 1..MAXIMUM_BYTES, "$.limits.wholeAnswerBytes")
        checkRange(limits.requests, 1..MAXIMUM_REQUESTS, "$.limits.requests")
    }

    private fun MutableList<DocumentFault>.checkEndpoint(
        endpoint: DaemonSettings.Endpoint,
        path: String,
    ) {
        if (!addressPattern.matches(endpoint.host)) addFault("$path.host", "must be a numeric IP address")
        checkRange(endpoint.port, 0..MAXIMUM_PORT, "$path.port")
    }

    private fun MutableList<DocumentFault>.checkName(
        value: String,
        path: String,
    ) {
        if (!namePattern.matches(value)) addFault(path, "must match ${namePattern.pattern}")
    }

    private fun MutableList<DocumentFault>.checkUrl(
        value: String,
        path: String,
    ) {
        val uri = runCatching { URI(value) }.getOrNull()
        val valid = uri?.scheme == "http" && uri.host != null && !value.endsWith("/")
        if (!valid) addFault(path, "must be an http URL without a trailing slash")
    }

    private fun MutableList<DocumentFault>.checkPositive(
        value: Long,
        path: String,
    ) {
        if (value <= 0) addFault(path, "must be greater than 0")
    }

    private fun MutableList<DocumentFault>.checkRange(
        value: Int,
        range: IntRange,
        path: String,
    ) {
        if (value !in range) addFault(path, "must be ${range.first} to ${range.last}")
    }

    private fun MutableList<DocumentFault>.addFault(
        path: String,
        problem: String,
    ) {
        add(DocumentFault(path, problem))
    }

    private fun isValidResumeKey(text: String): Boolean {
        val key = runCatching { Base64.getDecoder().decode(text) }.getOrNull() ?: return false
        return key.size >= ResumeHandleCodec.MINIMUM_KEY_BYTES
    }
}
