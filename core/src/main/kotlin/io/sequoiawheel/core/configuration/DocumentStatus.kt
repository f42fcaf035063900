package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.DocumentFault
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The acceptance status of the latest document that operators wrote for a service; stored as `status/<service>`.
 *
 * @property documentVersion the version that was accepted or rejected
 * @property generation the currently accepted generation; 0 if there is none
 * @property faults why the document was rejected, with field paths; empty if it was accepted
 */
@Serializable
data class DocumentStatus(
    val service: String,
    val documentVersion: Long,
    val verdict: Verdict,
    val generation: Long,
    val faults: List<DocumentFault>,
    val atEpochMillis: Long,
) {
    /** Whether the document was accepted. */
    @Serializable
    enum class Verdict {
        @SerialName("accepted")
        ACCEPTED,

        @SerialName("rejected")
        REJECTED,
    }

    internal fun encode(): String = json.encodeToString(serializer(), this)

    internal companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(text: String): Either<Failure, DocumentStatus> =
            Either
                .catch { json.decodeFromString(serializer(), text) }
                .mapLeft { Failure(ResultCode.INTERNAL_ERROR, "unreadable status: ${it.message}") }
    }
}
