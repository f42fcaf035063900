package io.sequoiawheel.experiment.claims

import io.sequoiawheel.experiment.virtual.VirtualTime
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ln

/**
 * One non-idempotent call as its callers and its backend server will treat it, the same for every policy.
 *
 * @property twinSlot the entry instance that gets the same key as well, or null
 * @property twinAfterMillis how long after the first the twin is sent
 * @property durationMillis how long the backend server works on it
 */
internal data class CallPlan(
    val key: String,
    val atMillis: Long,
    val slot: Int,
    val twinSlot: Int?,
    val twinAfterMillis: Long,
    val durationMillis: Long,
    val fault: Fault,
) {
    /** What happens to the first dispatch. */
    enum class Fault { NONE, ANSWER_LOST, REFUSED, CONNECT_FAILED }

    companion object {
        const val SLOTS = 6
        const val MEAN_GAP_MILLIS = 250.0
        private const val TWIN_SHARE = 0.3
        private const val SLOW_SHARE = 0.06
        private const val ANSWER_LOST_SHARE = 0.03
        private const val REFUSED_SHARE = 0.06
        private const val CONNECT_FAILED_SHARE = 0.09

        /** Returns the calls of one run of [runMillis]. */
        fun generate(
            seed: Long,
            runMillis: Long,
        ): List<CallPlan> {
            val random = VirtualTime.random(seed, "calls")
            val plans = mutableListOf<CallPlan>()
            var at = 0L
            while (true) {
                at += exponential(random, MEAN_GAP_MILLIS)
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
            val isSlow = random.nextDouble() < SLOW_SHARE
            return CallPlan(
                key = "k$number",
                atMillis = at,
                slot = slot,
                twinSlot = ((slot + 1 + random.nextInt(SLOTS - 1)) % SLOTS).takeIf { random.nextDouble() < TWIN_SHARE },
                twinAfterMillis = random.nextLong(400),
                durationMillis = if (isSlow) 2_000 + random.nextLong(12_000) else exponential(random, 120.0),
                fault = fault(random.nextDouble()),
            )
        }

        private fun fault(draw: Double): Fault =
            when {
                draw < ANSWER_LOST_SHARE -> Fault.ANSWER_LOST
                draw < REFUSED_SHARE -> Fault.REFUSED
                draw < CONNECT_FAILED_SHARE -> Fault.CONNECT_FAILED
                else -> Fault.NONE
            }

        private fun exponential(
            random: UniformRandomProvider,
            mean: Double,
        ): Long = 1 + (-ln(1 - random.nextDouble()) * mean).toLong()
    }
}
