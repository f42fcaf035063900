/*
 * The replicas that may receive work. Entries come from the platform's list; zones that operators take out come from
 * another list. An entry that is missing after the platform's store was away is kept for a grace period, since live
 * replicas need a moment to register again. A list from an older copy of the store brings back no replica that left.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName

/** What is known of the store at the moment at which it tells the state of a list. */
enum class ListStanding {
    /** The store answers as usual. */
    CERTAIN,

    /** The store was away a moment ago, so entries of live replicas may have lapsed. */
    AFTER_OUTAGE,

    /** The store came back from an older copy: entries may be missing, and others out of date. */
    NEW_ERA,
}

/**
 * Holds the replicas by id. Confined to one thread.
 *
 * @param coldPhase from 0 to 1, drawn by each instance; see [TokenBucket]
 * @param graceMillis how long an entry that vanished with an outage of the store is still used after its return
 */
class ReplicaDirectory(
    private val clock: Clock,
    private val graceMillis: Long = REGISTRATION_GRACE_MILLIS,
    private val coldPhase: Double = 0.0,
) {
    private val replicas = LinkedHashMap<InstanceId, Replica>()
    private val missingUntil = HashMap<InstanceId, Long>()
    private val departures = Departures(clock)
    private val doubtful = LinkedHashMap<InstanceId, ReplicaEntry>()

    /** The zones that receive no new work. */
    val evacuations = EvacuatedZones(clock)

    /** Replaces all entries. Unless the list is certain, missing entries stay for the grace period. */
    fun replaceAll(
        entries: Collection<ReplicaEntry>,
        standing: ListStanding,
    ) {
        if (standing == ListStanding.NEW_ERA) departures.beginEra()
        val ids = entries.map { it.id }.toSet()
        doubtful.keys.retainAll(ids)
        entries.forEach(::put)
        replicas.keys.filter { it !in ids }.forEach { remove(it, standing != ListStanding.CERTAIN) }
    }

    /** Adds or updates one entry. */
    fun put(entry: ReplicaEntry) {
        val known = replicas[entry.id]
        if (known != null && departures.isUnsettled && entry.isEarlierStart(known.entry)) return
        missingUntil.remove(entry.id)
        if (known == null && departures.isDoubtful(entry)) {
            doubtful[entry.id] = entry
            return
        }
        doubtful.remove(entry.id)
        val replica =
            when {
                known == null -> add(entry)
                known.entry.isSameStart(entry) -> known.also { it.update(entry) }
                else -> add(entry).also { replaced(known) }
            }
        if (entry.isDraining) replica.leave(LeaveReason.DRAINING)
    }

    /** Removes one entry, at once or after the grace period. */
    fun remove(
        id: InstanceId,
        afterOutage: Boolean,
    ) {
        doubtful.remove(id)
        if (afterOutage && id in replicas) {
            missingUntil.getOrPut(id) { clock.nowMillis() + graceMillis }
            return
        }
        missingUntil.remove(id)
        val removed = replicas.remove(id) ?: return
        removed.leave(LeaveReason.REMOVED)
        departures.removed(removed)
    }

    /** Marks replicas as leaving that told another instance so; [starts] tells the start that did, by the id. */
    fun leaveAsTold(starts: Map<String, Long>) {
        for ((id, startedAtMillis) in starts) {
            val replica = replicas[InstanceId(id)] ?: continue
            if (replica.entry.startedAtMillis == startedAtMillis) replica.leave(LeaveReason.TOLD_BY_PEER)
        }
    }

    /** Returns the starts of the replicas that told this instance that they leave, by their ids. */
    fun announcedLeavings(): Map<String, Long> =
        replicas.values
            .filter { it.leaveReason == LeaveReason.ANNOUNCED }
            .mapNotNull { replica -> replica.entry.startedAtMillis?.let { replica.entry.id.value to it } }
            .toMap()

    /** Returns the replicas of [service] that may receive new work now. */
    fun usable(service: ServiceName): List<Replica> {
        expire()
        return replicas.values.filter { it.entry.service == service && mayReceive(it) }
    }

    /** Whether [replica] may receive work, new or moved: it is not leaving, and its zone is not taken out. */
    fun mayReceive(replica: Replica): Boolean = !replica.isLeaving && replica.entry.zone !in evacuations

    /** Returns all known replicas. */
    fun all(): List<Replica> = replicas.values.toList()

    private fun replaced(replica: Replica) {
        replica.leave(LeaveReason.REPLACED)
        departures.ended(replica)
    }

    private fun add(entry: ReplicaEntry): Replica {
        val replica = Replica(entry, coldPhase, clock)
        replicas[entry.id] = replica
        departures.finalReason(entry)?.let(replica::leave)
        return replica
    }

    private fun expire() {
        if (missingUntil.isNotEmpty()) {
            val now = clock.nowMillis()
            val gone = missingUntil.filterValues { it <= now }.keys
            gone.toList().forEach { remove(it, afterOutage = false) }
        }
        if (doubtful.isNotEmpty() && !departures.isUnsettled) doubtful.values.toList().forEach(::put)
    }

    private companion object {
        /** Live replicas are back in the list about 2 s after the store's return. */
        const val REGISTRATION_GRACE_MILLIS = 2_300L
    }
}
