/*
 * Keeps the calls that a paused or limited replica does not accept from overloading the other replicas of its service.
 * The reports of other instances are too old to show that a replica fills up within a second, so each instance learns
 * it from the duration of its own calls.
 */
package io.sequoiawheel.core.relay

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
