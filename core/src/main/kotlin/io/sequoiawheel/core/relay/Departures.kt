package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId

/**
 * The replicas that left, so that an older copy of the platform's list does not bring one back. A start that is leaving
 * for certain stays away. One whose entry was merely gone is believed again when the list names it in the same era, or
 * still does after a time in which the store drops entries that nobody renews. Confined to one thread.
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
    private var era = 0
    private var unsettledUntilMillis = Long.MIN_VALUE

    /** Whether the list may still hold entries from the copy that nobody renews. */
    val isUnsettled: Boolean get() = clock.nowMillis() < unsettledUntilMillis

    /** Records that the store came back from an older copy. */
    fun beginEra() {
        era++
        unsettledUntilMillis = clock.nowMillis() + UNSETTLED_MILLIS
    }

    /** Records that the entry of [replica] is gone. */
    fun removed(replica: Replica) {
        removals.remove(replica.entry.id)
        removals[replica.entry.id] = Removal(replica.entry, era)
        removals.trim()
        ended(replica)
    }

    /** Records that [replica] is not in the list any more, since its entry is gone or about another start. */
    fun ended(replica: Replica) {
        val reason = replica.leaveReason?.takeIf { it.isFinal } ?: return
        // Without the time of its start, a replica that came back looks like the one that left.
        val startedAtMillis = replica.entry.startedAtMillis ?: return
        finalReasons[replica.entry.id to startedAtMillis] = reason
        finalReasons.trim()
    }

    /** Returns why the start that [entry] is about is leaving for certain, or null if that is not known. */
    fun finalReason(entry: ReplicaEntry): LeaveReason? = entry.startedAtMillis?.let { finalReasons[entry.id to it] }

    /** Whether [entry] may stem from the copy, since its start, or a later one, was gone before the store came back. */
    fun isDoubtful(entry: ReplicaEntry): Boolean {
        if (!isUnsettled) return false
        val removal = removals[entry.id]?.takeIf { it.era < era } ?: return false
        return removal.entry.isSameStart(entry) || entry.isEarlierStart(removal.entry)
    }

    private fun <K> LinkedHashMap<K, *>.trim() {
        if (size > MAXIMUM_KEPT) remove(keys.first())
    }

    private companion object {
        /** The store drops the entry of a silent replica after three heartbeats, about 4 s. */
        const val UNSETTLED_MILLIS = 5_000L

        /** Replicas that leave within an hour of the busiest day; each takes some hundred bytes. */
        const val MAXIMUM_KEPT = 2_000
    }
}
