package io.sequoiawheel.standin.plain

import kotlinx.serialization.Serializable

/**
 * Faults to inject into a plain service.
 *
 * @property answers faults of the next calls, one per call, in this order; they are queued after those already pending
 * @property call name of the call that [answers] applies to; null means any call
 * @property lateMillis delay of a late answer
 * @property turnCold resets the warm-up period without a restart
 */
@Serializable
data class PlainServiceFaults(
    val answers: List<AnswerFault> = emptyList(),
    val call: String? = null,
    val lateMillis: Long = 2_000,
    val turnCold: Boolean = false,
)
