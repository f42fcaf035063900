package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode

/**
 * How a generation ended.
 *
 * @property failure why it did not complete; null if it did
 * @property tokens tokens delivered by this run plus those before its first offset
 * @property stallMillis time beyond the expected gaps between tokens
 * @property queueMillis time spent waiting for capacity
 */
data class GenerationOutcome(
    val failure: Failure?,
    val tokens: Int,
    val replica: InstanceId? = null,
    val stallMillis: Long = 0,
    val queueMillis: Long = 0,
    val attempts: Int = 0,
) {
    /** The result code, `OK` if the generation completed. */
    val code: ResultCode get() = failure?.code ?: ResultCode.OK
}
