package io.sequoiawheel.core.serving

/**
 * A dispatch that did not lead to a complete answer.
 *
 * @property outcome what is known of the work at the backend server
 */
class DispatchException(
    val outcome: Outcome,
    message: String,
    cause: Throwable? = null,
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
