package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** The rate of this instance's calls to one replica while others of its service are restricted. Not thread-safe. */
class OverflowRate(
    private val clock: Clock,
) {
    private val bucket = TokenBucket(clock)
    private var perSecond = 0.0
    private var usedAtMillis: Long? = null
    private var loweredAtMillis = Long.MIN_VALUE

    private val isActive: Boolean get() = usedAtMillis?.let { clock.nowMillis() - it <= IDLE_MILLIS } ?: false

    /** Whether a call may be sent now; an equal share of the replica's capacity, [share], is always allowed. */
    internal fun mayTake(share: RateShare): Boolean {
        if (!isActive) {
            perSecond = 0.0
            bucket.reset()
        }
        usedAtMillis = clock.nowMillis()
        return bucket.millisUntilToken(maxOf(perSecond, share.perSecond), share.burst) == 0L
    }

    /** Consumes the permission for one call. */
    internal fun take(share: RateShare) {
        bucket.tryTake(maxOf(perSecond, share.perSecond), share.burst)
    }

    /** Raises the rate after a call within its objective, up to [maximumPerSecond]. */
    internal fun raise(
        share: RateShare,
        maximumPerSecond: Double,
    ) {
        if (!isActive) return
        val raised = maxOf(perSecond, share.perSecond) + share.perSecond * INCREASE_SHARE
        perSecond = raised.coerceAtMost(maxOf(maximumPerSecond, share.perSecond))
    }

    /** Halves the rate, once for all calls that were running at the same time for [objectiveMillis]. */
    internal fun lower(objectiveMillis: Long) {
        val now = clock.nowMillis()
        if (!isActive || now < loweredAtMillis + objectiveMillis) return
        loweredAtMillis = now
        perSecond /= 2
    }

    private companion object {
        /** Restrictions that follow each other within this time continue with the learned rate. */
        const val IDLE_MILLIS = 3_000L

        /** Part of the equal share by which each call within its objective raises the rate. */
        const val INCREASE_SHARE = 0.25
    }
}
