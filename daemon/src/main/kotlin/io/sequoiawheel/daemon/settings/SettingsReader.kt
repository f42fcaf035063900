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

/** Reads settings files. Every fault is reported at once, each with the path of its field and what is allowed. */
object SettingsReader {
    private const val MAXIMUM_PORT = 65_535
    private const val MAXIMUM_BYTES = 1_073_741_824
    private const val MAXIMUM_REQUESTS = 1_000_000
    private val addressPattern = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")
    private val namePattern = Regex("[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?")

    /** Returns the settings in [text], or `INVALID_SETTINGS` with all faults in its detail. */
    fun read(text: String): Either<Failure, DaemonSettings> {
        val element =
            try {
                Json.parseToJsonElement(text)
            } catch (error: SerializationException) {
                return failure(listOf(DocumentFault("$", "must be a JSON object: ${firstLine(error)}"))).left()
            }
        val shapeFaults = JsonShape.check(DaemonSettings.serializer().descriptor, element)
        if (shapeFaults.isNotEmpty()) return failure(shapeFaults).left()
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
            name(settings.instanceId.value, "$.instanceId")
            name(settings.region, "$.region")
            name(settings.zone.value, "$.zone")
            endpoint(settings.listen, "$.listen")
            endpoint(settings.peer, "$.peer")
            platform(settings)
            if (!isKey(settings.resumeKey)) {
                fault("$.resumeKey", "must be base64 of at least ${ResumeHandleCodec.MINIMUM_KEY_BYTES} bytes")
            }
            limits(settings.limits)
        }

    private fun MutableList<DocumentFault>.platform(settings: DaemonSettings) {
        val platform = settings.platform
        url(platform.objectApi, "$.platform.objectApi")
        url(platform.instanceList, "$.platform.instanceList")
        url(platform.weightStore, "$.platform.weightStore")
        positive(platform.connectTimeoutMillis, "$.platform.connectTimeoutMillis")
        positive(platform.requestTimeoutMillis, "$.platform.requestTimeoutMillis")
        positive(platform.callBurst.toLong(), "$.platform.callBurst")
        if (platform.callsPerSecond <= 0) fault("$.platform.callsPerSecond", "must be more than 0")
    }

    private fun MutableList<DocumentFault>.limits(limits: DaemonSettings.Limits) {
        range(limits.bodyBytes, 1..MAXIMUM_BYTES, "$.limits.bodyBytes")
        range(limits.headerBytes, 1..MAXIMUM_BYTES, "$.limits.headerBytes")
        range(limits.wholeAnswerBytes, 1..MAXIMUM_BYTES, "$.limits.wholeAnswerBytes")
        range(limits.requests, 1..MAXIMUM_REQUESTS, "$.limits.requests")
    }

    private fun MutableList<DocumentFault>.endpoint(
        endpoint: DaemonSettings.Endpoint,
        path: String,
    ) {
        if (!addressPattern.matches(endpoint.host)) fault("$path.host", "must be an IP address in numbers")
        range(endpoint.port, 0..MAXIMUM_PORT, "$path.port")
    }

    private fun MutableList<DocumentFault>.name(
        value: String,
        path: String,
    ) {
        if (!namePattern.matches(value)) fault(path, "must match ${namePattern.pattern}")
    }

    private fun MutableList<DocumentFault>.url(
        value: String,
        path: String,
    ) {
        val uri = runCatching { URI(value) }.getOrNull()
        val valid = uri?.scheme == "http" && uri.host != null && !value.endsWith("/")
        if (!valid) fault(path, "must be an http URL without a slash at the end")
    }

    private fun MutableList<DocumentFault>.positive(
        value: Long,
        path: String,
    ) {
        if (value <= 0) fault(path, "must be more than 0")
    }

    private fun MutableList<DocumentFault>.range(
        value: Int,
        range: IntRange,
        path: String,
    ) {
        if (value !in range) fault(path, "must be ${range.first} to ${range.last}")
    }

    private fun MutableList<DocumentFault>.fault(
        path: String,
        problem: String,
    ) {
        add(DocumentFault(path, problem))
    }

    private fun isKey(text: String): Boolean {
        val key = runCatching { Base64.getDecoder().decode(text) }.getOrNull() ?: return false
        return key.size >= ResumeHandleCodec.MINIMUM_KEY_BYTES
    }
}
