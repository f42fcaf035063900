package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.RolloutBounds
import kotlin.math.sqrt

/**
 * The part of one instance in the budget of a new version. The instance sends the new version at most the canary share
 * of the requests that it received itself, so the sum over all instances keeps to the share whatever they know of each
 * other. Rounding is random: the first request is admitted at a random point, which on average neither gains nor loses
 * a request. The margin covers the deviation of the sum of the rounded parts, and what remains of it is divided among
 * the instances that run at the time of the order. Confined to one thread.
 *
 * @param instanceCount upper estimate of the number of instances
 * @param hasMargin whether the instance takes part in the division of the margin
 * @param phase a random number from 0 to 1
 */
class CanaryBudget(
    private val bounds: RolloutBounds,
    private val durationMillis: Long,
    instanceCount: Int,
    hasMargin: Boolean,
    phase: Double,
    private val clock: Clock,
) {
    private val startedMillis = clock.nowMillis()
    private val margin: Double
    private val start: Double

    /** Requests for the service that this instance received. */
    var received = 0
        private set

    /** Requests that this instance sent to the new version. */
    var admitted = 0
        private set

    init {
        val count = instanceCount.coerceAtLeast(1)
        val deviation = DEVIATIONS * ROUNDING_DEVIATION * sqrt(count.toDouble())
        val spendable = (bounds.canaryMargin - deviation).coerceIn(0.0, bounds.canaryMargin * SPENDABLE_SHARE)
        margin = if (hasMargin) spendable / count else 0.0
        start = phase - ((deviation - bounds.canaryMargin) / count).coerceIn(0.0, 1.0)
    }

    /** Whether a request may be sent to the new version now. */
    val mayAdmit: Boolean get() = allowance() - admitted >= 1

    /** Records a request for the service, wherever it is sent. */
    fun recordRequest() {
        received++
    }

    /** Takes one request from the budget, or returns false if it is used up. */
    fun tryAdmit(): Boolean {
        if (!mayAdmit) return false
        admitted++
        return true
    }

    /** Records a request that was sent to the new version outside the budget. */
    fun recordUnbudgeted() {
        admitted++
    }

    private fun allowance(): Double {
        val ramp = (clock.nowMillis() - startedMillis) / (durationMillis * RAMP_SHARE).coerceAtLeast(1.0)
        return start + bounds.canaryShare * SHARE_IN_USE * received + margin * ramp.coerceIn(0.0, 1.0)
    }

    private companion object {
        /** The sum of the rounded parts stays within this many standard deviations, except once in 3 million orders. */
        const val DEVIATIONS = 5.0

        /** Largest standard deviation of a number that is rounded at random to one of its neighbours. */
        const val ROUNDING_DEVIATION = 0.5

        /** The rest of the margin covers requests that the instances count and others do not. */
        const val SPENDABLE_SHARE = 0.5

        /** The rest of the share is left for the shift, where a version that turns bad then is sent the most. */
        const val SHARE_IN_USE = 0.6

        /** The margin is released over this share of the time, so that a bad version shows at its first part. */
        const val RAMP_SHARE = 0.25
    }
}
