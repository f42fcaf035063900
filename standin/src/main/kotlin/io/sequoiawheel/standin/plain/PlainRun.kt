package io.sequoiawheel.standin.plain

import io.sequoiawheel.core.model.RequestId

/**
 * One run of a call at a plain service.
 *
 * @property body the JSON text that the caller sent
 * @property durationMillis how long the run takes
 */
data class PlainRun(
    val number: Long,
    val requestId: RequestId,
    val call: String,
    val body: String,
    val durationMillis: Long,
    internal val fault: AnswerFault?,
    internal val lateMillis: Long,
)
