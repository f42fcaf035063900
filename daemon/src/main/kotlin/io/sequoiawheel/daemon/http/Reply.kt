package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode

/** How a request was answered. */
internal sealed interface Reply {
    /** The result code for the log line and the metrics. */
    val code: ResultCode

    /** Still to be sent as JSON. */
    data class Json(
        override val code: ResultCode,
        val body: String,
    ) : Reply

    /** Still to be sent as the JSON form of a failure. */
    data class Refusal(
        val failure: Failure,
    ) : Reply {
        override val code get() = failure.code
    }

    /** Already sent as a stream. */
    data class Streamed(
        override val code: ResultCode,
    ) : Reply
}
