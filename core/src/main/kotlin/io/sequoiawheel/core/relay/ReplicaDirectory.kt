/*
 * The directory of replicas that may receive work. Entries come from the platform's replica list, evacuated zones from
 * another list. An entry that is missing after an outage of the platform's store is kept for a grace period, since live
 * replicas need time to register again. A list from an older snapshot of the store brings back no replica that left.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName

/** How reliable a list read from the store is. */
enum class ListReliability {
    /** The store is operating normally, so the list is complete and current. */
    CERTAIN,

    /** The store was recently unavailable, so entries of live replicas may have expired. */
    AFTER_OUTAGE,

    /** The store was restored from an older snapshot: entries may be missing or out of date. */
    NEW_ERA,
}

/**
 * Maintains the replicas by id. Confined to one thread.
 *
 * @param coldPhase from 0 to 1, chosen randomly by each instance; see [TokenBucket]
 * @param graceMillis how long an entry lost in an outage of the store is still used after the outage, or after it is
 *   missing in a list
 * @param sinceOutageMillis returns the time since the last outage ended
 */
class ReplicaDirectory(
    private val clock: Clock,
    private val graceMillis: Long = REGISTRATION_GRACE_MILLIS,
    private val coldPhase: Double = 0.0,
    private val sinceOutageMillis: () -> Long = { 0 },
) {
    private val replicas = LinkedHashMap<InstanceId, Replica>()
    private val missingUntilMillis = HashMap<InstanceId, Long>()
    private val departures = Departures(clock)
    private val possiblyStale = LinkedHashMap<InstanceId, ReplicaEntry>()

    /** The evacuated zones, which receive no new work. */
    val evacuations = EvacuatedZones(clock)

    /**
     * Replaces all entries. Unless the list is [ListReliability.CERTAIN], missing entries stay for the grace period.
     */
    fun replaceAll(
        entries: Collection<ReplicaEntry>,
        reliability: ListReliability,
    ) {
        if (reliability == ListReliability.NEW_ERA) departures.beginEra()
        val ids = entries.map { it.id }.toSet()
        possiblyStale.keys.retainAll(ids)
        entries.forEach(::put)
        val keptMillis = if (reliability == ListReliability.CERTAIN) 0 else graceMillis
        replicas.keys.filter { it !in ids }.forEach { removeAfter(it, keptMillis) }
    }

    /** Adds or updates one entry. */
    fun put(entry: ReplicaEntry) {
        val known = replicas[entry.id]
        if (known != null && departures.isSettling && entry.isEarlierStart(known.entry)) return
        missingUntilMillis.remove(entry.id)
        if (known == null && departures.mayBeStale(entry)) {
            possiblyStale[entry.id] = entry
            return
        }
        possiblyStale.remove(entry.id)
        val replica =
            when {
                known == null -> add(entry)
                known.entry.isSameStart(entry) -> known.also { it.update(entry) }
                else -> add(entry).also { markReplaced(known) }
            }
        if (entry.isDraining) replica.leave(LeaveReason.DRAINING)
    }

    /** Whether there is a replica with this id, also one that is kept for a while after its entry was lost. */
    operator fun contains(id: InstanceId): Boolean = id in replicas

    /** Removes one entry, immediately or at the end of the grace period that began with the end of an outage. */
    fun remove(
        id: InstanceId,
        afterOutage: Boolean,
    ) = removeAfter(id, if (afterOutage) graceMillis - sinceOutageMillis() else 0)

    private fun removeAfter(
        id: InstanceId,
        keptMillis: Long,
    ) {
        possiblyStale.remove(id)
        if (keptMillis > 0 && id in replicas) {
            missingUntilMillis.getOrPut(id) { clock.nowMillis() + keptMillis }
            return
        }
        missingUntilMillis.remove(id)
        val removed = replicas.remove(id) ?: return
        removed.leave(LeaveReason.REMOVED)
        departures.recordRemoval(removed)
    }

    /** Marks replicas that announced to other instances that they are leaving; [starts] are their start times by id. */
    fun markReportedLeaving(starts: Map<String, Long>) {
        for ((id, startedAtMillis) in starts) {
            val replica = replicas[InstanceId(id)] ?: continue
            if (replica.entry.startedAtMillis == startedAtMillis) replica.leave(LeaveReason.TOLD_BY_PEER)
        }
    }

    /** Returns the start times of the replicas that announced to this instance that they are leaving, by id. */
    fun announcedLeaving(): Map<String, Long> =
        replicas.values
            .filter { it.leaveReason == LeaveReason.ANNOUNCED }
            .mapNotNull { replica -> replica.entry.startedAtMillis?.let { replica.entry.id.value to it } }
            .toMap()

    /** Applies the request limits that other instances observed. Returns the replicas whose limit changed. */
    fun applyReportedLimits(limits: LimitsByReplica): List<Replica> =
        limits.mapNotNull { (id, limit) ->
            val replica = replicas[InstanceId(id)]?.takeIf { it.entry.startedAtMillis == limit.startedAtMillis }
            val before = replica?.requestLimit?.perSecond
            replica?.takeIf { it.requestLimit.applyReport(limit) && it.requestLimit.perSecond != before }
        }

    /** Returns the request limits of the replicas, for the other instances. */
    fun observedLimits(): LimitsByReplica =
        replicas.values
            .mapNotNull { replica ->
                replica.entry.startedAtMillis
                    ?.let(replica.requestLimit::observation)
                    ?.let { replica.entry.id.value to it }
            }.toMap()

    /** Returns the replicas of [service] that may currently receive new work. */
    fun usable(service: ServiceName): List<Replica> {
        expire()
        return replicas.values.filter { it.entry.service == service && mayReceive(it) }
    }

    /** Whether [replica] may receive new or migrated work: it is not leaving, and its zone is not evacuated. */
    fun mayReceive(replica: Replica): Boolean = !replica.isLeaving && replica.entry.zone !in evacuations

    /** Returns all known replicas. */
    fun all(): List<Replica> = replicas.values.toList()

    private fun markReplaced(replica: Replica) {
        replica.leave(LeaveReason.REPLACED)
        departures.recordEnd(replica)
    }

    private fun add(entry: ReplicaEntry): Replica {
        val replica = Replica(entry, coldPhase, clock)
        replicas[entry.id] = replica
        departures.finalReason(entry)?.let(replica::leave)
        return replica
    }

    private fun expire() {
        if (missingUntilMillis.isNotEmpty()) {
            val now = clock.nowMillis()
            val gone = missingUntilMillis.filterValues { it <= now }.keys
            gone.toList().forEach { remove(it, afterOutage = false) }
        }
        if (possiblyStale.isNotEmpty() && !departures.isSettling) possiblyStale.values.toList().forEach(::put)
    }

    private companion object {
        /** Live replicas register again about 2 s after the store is back. */
        const val REGISTRATION_GRACE_MILLIS = 2_300L
    }
}
