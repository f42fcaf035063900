package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.ResultCode

/**
 * A dispatch that did not produce a complete answer.
 *
 * @property outcome what is known about the work at the backend server
 * @property code the result code if the request is not retried; null for the default of [outcome]
 * @property retryAfterMillis the retry delay that the backend server requested, if any
 */
class DispatchException(
    val outcome: Outcome,
    message: String,
    cause: Throwable? = null,
    val code: ResultCode? = null,
    val retryAfterMillis: Long? = null,
) : Exception(message, cause) {
    /** What is known about the work at the backend server. */
    enum class Outcome {
        /** No byte of the request left this process, or the backend server proved that it did not run. */
        NOT_RUN,

        /** The backend server no longer knows the generation. */
        GONE,

        /** The connection was lost or the answer was unusable; the work may be running. */
        UNKNOWN,
    }
}
