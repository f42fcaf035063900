package io.sequoiawheel.objectapi.internal

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/** The reply to one call. */
internal data class PlatformReply(
    val status: Int,
    val isSuccess: Boolean,
    val body: String,
) {
    /** Returns the decoded body; a body that does not parse counts as no answer. */
    fun <T> decode(deserializer: DeserializationStrategy<T>): Either<Failure, T> =
        try {
            PlatformWire.json.decodeFromString(deserializer, body).right()
        } catch (error: SerializationException) {
            unreadable(error).left()
        } catch (error: IllegalArgumentException) {
            unreadable(error).left()
        }

    /** Returns the failure for a status that the protocol does not define. */
    fun unexpected(): Failure = Failure(ResultCode.PLATFORM_UNAVAILABLE, "the platform answered with status $status")

    private fun unreadable(error: Exception) =
        Failure(ResultCode.PLATFORM_UNAVAILABLE, "the platform's answer is unreadable: ${error.message}")
}
