package io.sequoiawheel.experiment.claims

import io.sequoiawheel.experiment.virtual.VirtualTime
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ln

/**
 * The planned behaviour of the callers and the backend server for one non-idempotent call. Every policy gets the same
 * plans.
 *
 * @property duplicateSlot the entry instance that also receives a call with the same key, or null
 * @property duplicateDelayMillis delay between the first call and its duplicate
 * @property durationMillis processing time at the backend server
 */
internal data class CallPlan(
    val key: String,
    val atMillis: Long,
    val slot: Int,
    val duplicateSlot: Int?,
    val duplicateDelayMillis: Long,
    val durationMillis: Long,
    val fault: Fault,
) {
    /** The fault that the first dispatch meets. */
    enum class Fault { NONE, ANSWER_LOST, REFUSED, CONNECT_FAILED }

    companion object {
        const val SLOTS = 6
        const val MEAN_INTERARRIVAL_MILLIS = 250.0
        private const val DUPLICATE_SHARE = 0.3
        private const val SLOW_CALL_SHARE = 0.06
        private const val ANSWER_LOST_THRESHOLD = 0.03
        private const val REFUSED_THRESHOLD = 0.06
        private const val CONNECT_FAILED_THRESHOLD = 0.09

        /** Returns the calls of a run that lasts [runMillis]; arrivals are a Poisson process. */
        fun generate(
            seed: Long,
            runMillis: Long,
        ): List<CallPlan> {
            val random = VirtualTime.random(seed, "calls")
            val plans = mutableListOf<CallPlan>()
            var at = 0L
            while (true) {
                at += exponential(random, MEAN_INTERARRIVAL_MILLIS)
                if (at >= runMillis) return plans
                plans += plan(random, plans.size, at)
            }
        }

        private fun plan(
            random: UniformRandomProvider,
            number: Int,
            at: Long,
        ): CallPlan {
            val slot = random.nextInt(SLOTS)
            val isSlow = random.nextDouble() < SLOW_CALL_SHARE
            return CallPlan(
                key = "k$number",
                atMillis = at,
                slot = slot,
                duplicateSlot =
                    ((slot + 1 + random.nextInt(SLOTS - 1)) % SLOTS).takeIf {
                        random.nextDouble() <
                            DUPLICATE_SHARE
                    },
                duplicateDelayMillis = random.nextLong(400),
                durationMillis = if (isSlow) 2_000 + random.nextLong(12_000) else exponential(random, 120.0),
                fault = fault(random.nextDouble()),
            )
        }

        private fun fault(draw: Double): Fault =
            when {
                draw < ANSWER_LOST_THRESHOLD -> Fault.ANSWER_LOST
                draw < REFUSED_THRESHOLD -> Fault.REFUSED
                draw < CONNECT_FAILED_THRESHOLD -> Fault.CONNECT_FAILED
                else -> Fault.NONE
            }

        private fun exponential(
            random: UniformRandomProvider,
            mean: Double,
        ): Long = 1 + (-ln(1 - random.nextDouble()) * mean).toLong()
    }
}
