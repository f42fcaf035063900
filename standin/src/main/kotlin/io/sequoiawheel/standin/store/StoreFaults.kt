package io.sequoiawheel.standin.store

import kotlinx.serialization.Serializable

/**
 * Faults that the object store shows until they are changed. All durations are in milliseconds.
 *
 * @property outage whether every call fails without taking effect; waiting watches fail at once
 * @property failureMillis how long a caller waits before it learns that no answer comes
 * @property latencyMillis mean time of an answer; half of it passes before the call takes effect
 * @property lostAnswerProbability share of writes that take effect and whose answer is lost
 * @property lostCallProbability share of calls that neither take effect nor get an answer
 * @property lateWriteProbability share of writes whose caller gets no answer and that take effect late
 * @property lateWriteMillis how late such a write takes effect
 * @property staleMillis age of the state that reads and watches return
 */
@Serializable
data class StoreFaults(
    val outage: Boolean = false,
    val failureMillis: Long = 1_000,
    val latencyMillis: Long = 4,
    val lostAnswerProbability: Double = 0.0,
    val lostCallProbability: Double = 0.0,
    val lateWriteProbability: Double = 0.0,
    val lateWriteMillis: Long = 3_000,
    val staleMillis: Long = 0,
)
