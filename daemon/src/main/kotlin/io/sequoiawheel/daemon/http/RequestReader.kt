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

/** Reads request bodies of at most [maximumBytes] and parses JSON. */
internal class RequestReader(
    private val maximumBytes: Int,
) {
    /** Returns the body as text, or `BODY_TOO_LARGE`. */
    suspend fun readBody(call: ApplicationCall): Either<Failure, String> {
        val contentLength = call.request.headers["Content-Length"]?.toLongOrNull() ?: 0
        if (contentLength > maximumBytes) return bodyTooLarge()
        val bytes = call.receiveChannel().readRemaining(maximumBytes + 1L).readByteArray()
        return if (bytes.size > maximumBytes) bodyTooLarge() else bytes.decodeToString().right()
    }

    private fun bodyTooLarge() =
        Failure(ResultCode.BODY_TOO_LARGE, "the body exceeds the limit of $maximumBytes bytes").left()

    companion object {
        /** Decodes the JSON in [text], or returns `INVALID_REQUEST`. */
        fun <T> parse(
            serializer: KSerializer<T>,
            text: String,
        ): Either<Failure, T> =
            try {
                WireBodies.json.decodeFromString(serializer, text).right()
            } catch (error: SerializationException) {
                invalidRequest(firstLine(error)).left()
            } catch (error: IllegalArgumentException) {
                invalidRequest(firstLine(error)).left()
            }

        /** Parses [text] as JSON, or returns `INVALID_REQUEST`. */
        fun parseJson(text: String): Either<Failure, JsonElement> = parse(JsonElement.serializer(), text)

        /** Returns the failure for a malformed request. */
        fun invalidRequest(detail: String) = Failure(ResultCode.INVALID_REQUEST, detail)

        private fun firstLine(error: Exception) =
            error.message
                .orEmpty()
                .lineSequence()
                .first()
    }
}
