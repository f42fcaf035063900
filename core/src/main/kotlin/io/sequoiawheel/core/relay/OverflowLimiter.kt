/*
 * Keeps the calls that a paused or limited replica does not accept from overloading the other replicas of its service.
 * The reports of other instances are too old to show that a replica fills up within a second, so each instance learns
 * it from the duration of its own calls.
 */
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

/** Decides when this instance may send calls to replicas whose siblings are restricted. Confined to one thread. */
class OverflowLimiter(
    private val fleet: FleetMembership,
) {
    /** Whether a call may be sent to [replica] now. Does not consume anything. */
    fun mayAdmit(replica: Replica): Boolean = replica.overflowRate.mayTake(shareOf(replica))

    /** Consumes the permission for one call to [replica]. */
    fun admit(replica: Replica) = replica.overflowRate.take(shareOf(replica))

    /** Records that a call to [replica] ended after [elapsedMillis], or that the replica refused it as full. */
    fun recordCall(
        replica: Replica,
        elapsedMillis: Long,
        objectiveMillis: Long,
        isRefused: Boolean = false,
    ) {
        if (isRefused || elapsedMillis > objectiveMillis) {
            replica.overflowRate.lower(objectiveMillis)
        } else {
            replica.overflowRate.raise(shareOf(replica), capacityPerSecond(replica))
        }
    }

    /** An instance that does not know the others yet is taken as the only one, so that it serves its first callers. */
    private fun shareOf(replica: Replica): RateShare {
        val count = if (fleet.isKnown) fleet.instanceCount.coerceAtLeast(1) else 1
        return RateShare(capacityPerSecond(replica) / count, replica.callCapacity * BURST_FACTOR / count)
    }

    private fun capacityPerSecond(replica: Replica): Double =
        replica.entry.slots * MILLIS_PER_SECOND / replica.load.expectedResponseMillis

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Sum of all bursts in capacities of the replica; instances seldom use theirs at the same time. */
        const val BURST_FACTOR = 4.0
    }
}
