package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId

/** The reply of a plain service to one call. */
sealed interface PlainReply {
    /** The call runs; [PlainServiceModel.finish] returns its answer after the duration of the run. */
    data class Started(
        val run: PlainRun,
    ) : PlainReply

    /** The call did not run. */
    data class Refused(
        val reason: String,
    ) : PlainReply

    /** The service has no call of this name; nothing ran. */
    data object Unknown : PlainReply

    /** The answer [body] of the request [requestId] with HTTP [status], to be sent after [delayMillis]. */
    data class Answer(
        val requestId: RequestId,
        val status: Int,
        val body: String,
        val delayMillis: Long = 0,
    ) : PlainReply

    /** The answer is lost and the connection is aborted. */
    data object Lost : PlainReply
}
