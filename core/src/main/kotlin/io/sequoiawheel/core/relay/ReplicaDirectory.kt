/*
 * The replicas that may receive work. Entries come from the platform's list; zones that operators take out come from
 * another list. An entry that is missing after the platform's store was away is kept for a grace period, since live
 * replicas need a moment to register again.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableSet

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
    private var evacuated: ImmutableSet<ZoneName> = persistentSetOf()

    /** The zones that receive no new work. */
    val evacuatedZones: ImmutableSet<ZoneName> get() = evacuated

    /** Replaces all entries. After an outage of the store, missing entries stay for the grace period. */
    fun replaceAll(
        entries: Collection<ReplicaEntry>,
        afterOutage: Boolean,
    ) {
        val ids = entries.map { it.id }.toSet()
        entries.forEach(::put)
        replicas.keys.filter { it !in ids }.forEach { remove(it, afterOutage) }
    }

    /** Adds or updates one entry. */
    fun put(entry: ReplicaEntry) {
        missingUntil.remove(entry.id)
        val known = replicas[entry.id]
        val replica =
            when {
                known == null -> add(entry)
                isSameStart(known.entry, entry) -> known.also { it.update(entry) }
                else -> add(entry).also { known.leave(LeaveReason.REPLACED) }
            }
        if (entry.isDraining) replica.leave(LeaveReason.DRAINING)
    }

    /** Removes one entry, at once or after the grace period. */
    fun remove(
        id: InstanceId,
        afterOutage: Boolean,
    ) {
        if (afterOutage && id in replicas) {
            missingUntil.getOrPut(id) { clock.nowMillis() + graceMillis }
            return
        }
        missingUntil.remove(id)
        replicas.remove(id)?.leave(LeaveReason.REMOVED)
    }

    /** Sets the zones that receive no new work. */
    fun evacuate(zones: Set<ZoneName>) {
        evacuated = zones.toImmutableSet()
    }

    /** Returns the replicas of [service] that may receive new work now. */
    fun usable(service: ServiceName): List<Replica> {
        expire()
        return replicas.values.filter { it.entry.service == service && mayReceive(it) }
    }

    /** Whether [replica] may receive work, new or moved: it is not leaving, and its zone is not taken out. */
    fun mayReceive(replica: Replica): Boolean = !replica.isLeaving && replica.entry.zone !in evacuated

    /** Returns all known replicas. */
    fun all(): List<Replica> = replicas.values.toList()

    private fun add(entry: ReplicaEntry) = Replica(entry, coldPhase, clock).also { replicas[entry.id] = it }

    private fun expire() {
        if (missingUntil.isEmpty()) return
        val now = clock.nowMillis()
        missingUntil
            .filterValues { it <= now }
            .keys
            .toList()
            .forEach { remove(it, afterOutage = false) }
    }

    private fun isSameStart(
        known: ReplicaEntry,
        newer: ReplicaEntry,
    ) = known.startedAtMillis == newer.startedAtMillis && known.address == newer.address

    private companion object {
        /** Live replicas are back in the list about 2 s after the store's return. */
        const val REGISTRATION_GRACE_MILLIS = 2_300L
    }
}
