package io.sequoiawheel.objectapi.internal

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/** The response to a [PlatformCall]. */
internal data class PlatformReply(
    val status: Int,
    val isSuccess: Boolean,
    val body: String,
) {
    /** Returns the decoded body. An undecodable body is `PLATFORM_UNAVAILABLE`, as if there were no response. */
    fun <T> decode(deserializer: DeserializationStrategy<T>): Either<Failure, T> =
        try {
            PlatformWire.json.decodeFromString(deserializer, body).right()
        } catch (error: SerializationException) {
            undecodable(error).left()
        } catch (error: IllegalArgumentException) {
            undecodable(error).left()
        }

    /** Returns the failure for a status that the caller does not handle. */
    fun unexpectedStatus(): Failure =
        Failure(ResultCode.PLATFORM_UNAVAILABLE, "the platform returned unexpected status $status")

    private fun undecodable(error: Exception) =
        Failure(ResultCode.PLATFORM_UNAVAILABLE, "the platform's response cannot be decoded: ${error.message}")
}
