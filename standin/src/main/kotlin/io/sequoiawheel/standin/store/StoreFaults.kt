package io.sequoiawheel.standin.store

import kotlinx.serialization.Serializable

/**
 * Faults of the object store, in effect until they are replaced. All durations are in milliseconds.
 *
 * @property outage whether every call fails without taking effect; waiting watches fail immediately
 * @property failureMillis time until a caller gets an error for a call without an answer
 * @property latencyMillis mean latency of an answer; half of it elapses before the call takes effect
 * @property lostAnswerProbability probability that a write takes effect but its answer is lost
 * @property lostCallProbability probability that a call neither takes effect nor gets an answer
 * @property lateWriteProbability probability that a write gets no answer and takes effect late
 * @property lateWriteMillis delay until such a write takes effect
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
