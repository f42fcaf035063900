package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.DocumentFault
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * What became of the operators' latest document of one service, in the object `status/<service>`.
 *
 * @property documentVersion the version that was judged
 * @property generation the generation that is accepted now; 0 if none is
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
    /** Whether the document took effect. */
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
