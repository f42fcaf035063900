package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.ResultCode

/**
 * A dispatch that did not lead to a complete answer.
 *
 * @property outcome what is known of the work at the backend server
 * @property code the result code if the request is not tried again; null for the usual one of [outcome]
 * @property retryAfterMillis when the backend server asked to be tried again, if it did
 */
class DispatchException(
    val outcome: Outcome,
    message: String,
    cause: Throwable? = null,
    val code: ResultCode? = null,
    val retryAfterMillis: Long? = null,
) : Exception(message, cause) {
    /** What is known of the work at the backend server. */
    enum class Outcome {
        /** No byte of the request left this process, or the backend server proved that it did not run. */
        NOT_RUN,

        /** The backend server no longer knows the generation. */
        GONE,

        /** The connection was lost or the answer was unusable; the work may be running. */
        UNKNOWN,
    }
}
