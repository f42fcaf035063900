package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ZoneName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The generations in force in a zone, as reported by one of its watchers; stored as `in-force/<zone>`.
 *
 * @property expectedInstances number of entry instances of the zone that the watcher knows; the report is incomplete if
 *   fewer of them reported
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
