package io.sequoiawheel.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement

/** Reads request bodies within their limit. */
internal class RequestReader(
    private val maximumBytes: Int,
) {
    /** Returns the body as text, or `BODY_TOO_LARGE`. */
    suspend fun text(call: ApplicationCall): Either<Failure, String> {
        val declared = call.request.headers["Content-Length"]?.toLongOrNull() ?: 0
        if (declared > maximumBytes) return tooLarge()
        val bytes = call.receiveChannel().readRemaining(maximumBytes + 1L).readByteArray()
        return if (bytes.size > maximumBytes) tooLarge() else bytes.decodeToString().right()
    }

    private fun tooLarge() = Failure(ResultCode.BODY_TOO_LARGE, "the body may have at most $maximumBytes bytes").left()

    companion object {
        /** Returns the value in [text], or `INVALID_REQUEST`. */
        fun <T> parse(
            serializer: KSerializer<T>,
            text: String,
        ): Either<Failure, T> =
            try {
                WireBodies.json.decodeFromString(serializer, text).right()
            } catch (error: SerializationException) {
                invalid(firstLine(error)).left()
            } catch (error: IllegalArgumentException) {
                invalid(firstLine(error)).left()
            }

        /** Returns [text] as JSON, or `INVALID_REQUEST`. */
        fun json(text: String): Either<Failure, JsonElement> = parse(JsonElement.serializer(), text)

        /** Returns the failure for a malformed request. */
        fun invalid(detail: String) = Failure(ResultCode.INVALID_REQUEST, detail)

        private fun firstLine(error: Exception) =
            error.message
                .orEmpty()
                .lineSequence()
                .first()
    }
}
