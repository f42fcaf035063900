package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ZoneName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * What a zone's watcher says is in force in its zone, in the object `in-force/<zone>`.
 *
 * @property expectedInstances entry instances of the zone that the watcher knows; if fewer reported, the report is
 *   incomplete
 */
@Serializable
data class InForceStatus(
    val zone: ZoneName,
    val watcher: String,
    val expectedInstances: Int,
    val report: SubtreeReport,
) {
    /** Whether every known instance of the zone reported. */
    val isComplete: Boolean get() = report.instances >= expectedInstances

    internal fun encode(): String = json.encodeToString(serializer(), this)

    internal companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(text: String): Either<Failure, InForceStatus> =
            Either
                .catch { json.decodeFromString(serializer(), text) }
                .mapLeft { Failure(ResultCode.INTERNAL_ERROR, "unreadable in-force status: ${it.message}") }
    }
}
