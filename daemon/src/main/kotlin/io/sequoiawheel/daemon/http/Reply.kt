package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode

/** The reply to a request. */
internal sealed interface Reply {
    /** The result code for the log line and the metrics. */
    val code: ResultCode

    /** A JSON body that is not sent yet. */
    data class Json(
        override val code: ResultCode,
        val body: String,
    ) : Reply

    /** A failure whose JSON body is not sent yet. */
    data class Refusal(
        val failure: Failure,
    ) : Reply {
        override val code get() = failure.code
    }

    /** A reply that was already sent as a stream. */
    data class Streamed(
        override val code: ResultCode,
    ) : Reply
}
