package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId

/**
 * Remembers replicas that left, so that a restored older snapshot of the platform's replica list does not bring them
 * back. An incarnation that left for a final reason is never used again. One whose entry only disappeared is used again
 * if it reappears before the store is restored, or if it is still listed after the time in which the store expires
 * entries that are not renewed. Confined to one thread.
 */
internal class Departures(
    private val clock: Clock,
) {
    private class Removal(
        val entry: ReplicaEntry,
        val era: Int,
    )

    private val removals = LinkedHashMap<InstanceId, Removal>()
    private val finalReasons = LinkedHashMap<Pair<InstanceId, Long>, LeaveReason>()

    /** Number of restores seen; a count of this instance, unlike the eras that the store states. */
    private var era = 0
    private var settlingUntilMillis = Long.MIN_VALUE

    /** Whether the list may still contain entries of the snapshot that are not renewed and have yet to expire. */
    val isSettling: Boolean get() = clock.nowMillis() < settlingUntilMillis

    /** Records that the store was restored from an older snapshot. */
    fun beginEra() {
        era++
        settlingUntilMillis = clock.nowMillis() + SETTLE_MILLIS
    }

    /** Records that the entry of [replica] was removed. */
    fun recordRemoval(replica: Replica) {
        removals.remove(replica.entry.id)
        removals[replica.entry.id] = Removal(replica.entry, era)
        removals.trim()
        recordEnd(replica)
    }

    /** Records that [replica] is no longer listed: its entry was removed or now describes another incarnation. */
    fun recordEnd(replica: Replica) {
        val reason = replica.leaveReason?.takeIf { it.isFinal } ?: return
        // Without its start time, a restarted replica cannot be distinguished from the one that left.
        val startedAtMillis = replica.entry.startedAtMillis ?: return
        finalReasons[replica.entry.id to startedAtMillis] = reason
        finalReasons.trim()
    }

    /** Returns the final reason for which the incarnation in [entry] left, or null if none is recorded. */
    fun finalReason(entry: ReplicaEntry): LeaveReason? = entry.startedAtMillis?.let { finalReasons[entry.id to it] }

    /** Whether [entry] may be a stale entry of the snapshot: it, or a later start, was removed before the restore. */
    fun mayBeStale(entry: ReplicaEntry): Boolean {
        if (!isSettling) return false
        val removal = removals[entry.id]?.takeIf { it.era < era } ?: return false
        return removal.entry.isSameStart(entry) || entry.isEarlierStart(removal.entry)
    }

    private fun <K> LinkedHashMap<K, *>.trim() {
        if (size > MAXIMUM_KEPT) remove(keys.first())
    }

    private companion object {
        /** The store expires the entry of a replica after three missed heartbeats, about 4 s. */
        const val SETTLE_MILLIS = 5_000L

        /** The number of replicas that leave in an hour of the busiest day; each entry takes some hundred bytes. */
        const val MAXIMUM_KEPT = 2_000
    }
}
