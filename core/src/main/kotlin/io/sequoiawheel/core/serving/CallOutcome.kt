package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode

/**
 * How a call ended.
 *
 * @property answer the answer of the backend server; null if there is none
 * @property recorded whether the answer was recorded by an earlier run with the same key
 * @property queueMillis time spent waiting for capacity
 */
data class CallOutcome(
    val failure: Failure?,
    val answer: Claims.RecordedAnswer? = null,
    val recorded: Boolean = false,
    val replica: InstanceId? = null,
    val queueMillis: Long = 0,
    val attempts: Int = 0,
) {
    /** The result code, `OK` or `OK_RECORDED` if there is a usable answer. */
    val code: ResultCode
        get() = failure?.code ?: if (recorded) ResultCode.OK_RECORDED else ResultCode.OK
}
