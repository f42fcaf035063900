package io.sequoiawheel.standin.plain

import kotlinx.serialization.Serializable

/**
 * An order for faults of a plain service.
 *
 * @property answers faults of the next calls, one each, in order; they follow those already ordered
 * @property call the call that [answers] waits for; null means any call
 * @property lateMillis delay of a late answer
 * @property turnCold the server becomes cold again without a restart
 */
@Serializable
data class PlainServiceFaults(
    val answers: List<AnswerFault> = emptyList(),
    val call: String? = null,
    val lateMillis: Long = 2_000,
    val turnCold: Boolean = false,
)
