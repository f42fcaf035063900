package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId

/** What a plain service says to one call. */
sealed interface PlainReply {
    /** The call runs; its answer comes from [PlainServiceModel.finish] after the run's duration. */
    data class Started(
        val run: PlainRun,
    ) : PlainReply

    /** The call did not run. */
    data class Refused(
        val reason: String,
    ) : PlainReply

    /** The service has no such call; it did not run. */
    data object Unknown : PlainReply

    /** The answer [body] of the request [requestId] with HTTP [status], to be sent after [delayMillis]. */
    data class Answer(
        val requestId: RequestId,
        val status: Int,
        val body: String,
        val delayMillis: Long = 0,
    ) : PlainReply

    /** The answer is lost with its connection. */
    data object Lost : PlainReply
}
