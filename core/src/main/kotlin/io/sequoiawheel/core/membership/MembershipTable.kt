/*
 * Tracks which instances exist, based on the delayed lists of the zone's watchers and on messages from peers. The table
 * is conservative in two ways: an instance missing from the list still counts for a while where counting too few
 * instances is unsafe (shares of a replica), and an instance once marked as leaving never receives new work again.
 */
package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.apache.commons.codec.digest.MurmurHash3

/**
 * The membership view of one entry instance. Thread-safe.
 *
 * @param self this entry instance, which is always included
 */
class MembershipTable(
    private val self: Instance,
) {
    private val snapshots = HashMap<InstanceId, Snapshot>()
    private val knownInstances = HashMap<InstanceId, KnownInstance>()
    private val leaving = HashSet<InstanceId>()
    private val lastMessageMillis = HashMap<InstanceId, Long>()
    private var lastConfirmedMillis: Long? = null

    /**
     * Applies the list of one watcher and returns whether it differs from that watcher's previous list. An update with
     * a lower sequence than the watcher's previous one is ignored, and so is an empty list, which indicates a fault of
     * its source.
     */
    @Synchronized
    fun apply(
        update: MembershipUpdate,
        nowMillis: Long,
    ): Boolean {
        val old = snapshots[update.watcher]
        if (update.instances.isEmpty() || old != null && old.sequence > update.sequence) return false
        lastConfirmedMillis = nowMillis
        snapshots[update.watcher] = Snapshot(update.sequence, update.instances, nowMillis)
        val changed = old?.instances != update.instances
        if (changed) markLeavingInstances(update.instances)
        refreshPresence(nowMillis)
        return changed
    }

    /** Records that a watcher or the relay tree confirmed the current list without changes. */
    @Synchronized
    fun confirm(nowMillis: Long) {
        lastConfirmedMillis = nowMillis
        refreshPresence(nowMillis)
    }

    /** Records a message from [peer], which proves that it is running. */
    @Synchronized
    fun recordMessageFrom(
        peer: InstanceId,
        nowMillis: Long,
    ) {
        lastMessageMillis[peer] = nowMillis
    }

    /** Marks [instance] as leaving, as announced by itself or by a peer. The mark is permanent. */
    @Synchronized
    fun markLeaving(instance: InstanceId) {
        leaving += instance
    }

    /** Returns the listed instances, in state `LEAVING` if marked so; instances missing from the list are excluded. */
    @Synchronized
    fun listed(): ImmutableList<Instance> =
        knownInstances.values
            .filter { it.present }
            .map { withState(it.instance) }
            .sortedBy { it.id.value }
            .toImmutableList()

    /** Returns the listed replicas of [service]. */
    fun replicas(service: ServiceName): List<Instance> = listed().filter { it.service == service }

    /** Returns the live entry instances of [zone], including this one unless it is leaving. */
    fun liveEntries(zone: ZoneName): List<Instance> {
        val listed = listed().filter { it.role == Instance.Role.ENTRY && it.zone == zone }
        val all = if (zone == self.zone && listed.none { it.id == self.id }) listed + withState(self) else listed
        return all.filter { it.state == Instance.State.LIVE }
    }

    /** Returns whether [instance] is listed and not marked as leaving. */
    @Synchronized
    fun mayReceiveWork(instance: InstanceId): Boolean =
        knownInstances[instance]?.present == true && instance !in leaving

    /**
     * Returns the entry instances of [zone] that may hold shares of its replicas: those listed, leaving, or listed or
     * heard from within the retention period.
     */
    @Synchronized
    fun entries(
        zone: ZoneName,
        nowMillis: Long,
    ): Set<InstanceId> {
        val known =
            knownInstances.values.filter {
                it.instance.isEntryOf(zone) &&
                    (it.present || isRetained(it, nowMillis))
            }
        val own = if (zone == self.zone) setOf(self.id) else emptySet()
        return known.mapTo(HashSet()) { it.instance.id } + own
    }

    /** Returns the time since the list was last confirmed, or null if it never was. */
    @Synchronized
    fun viewAgeMillis(nowMillis: Long): Long? = lastConfirmedMillis?.let { nowMillis - it }

    /** Returns a digest of the listed instances and their states; equal views have equal digests. */
    fun digest(): Long {
        val text = listed().joinToString("\n") { "${it.id} ${it.state} ${it.address} ${it.zone}" }
        return MurmurHash3.hash128x64(text.encodeToByteArray())[0]
    }

    /** Removes expired entries. */
    @Synchronized
    fun prune(nowMillis: Long) {
        lastMessageMillis.values.removeIf { nowMillis - it > EXPIRY_MILLIS }
        knownInstances.values.removeIf { !it.present && nowMillis - it.lastPresentMillis > EXPIRY_MILLIS }
        leaving.removeIf { it !in knownInstances && it != self.id }
    }

    private fun markLeavingInstances(instances: List<Instance>) {
        instances.filter { it.state == Instance.State.LEAVING }.forEach { leaving += it.id }
    }

    // An instance is present if any current watcher lists it; otherwise it would flap when two lists lag differently.
    private fun refreshPresence(nowMillis: Long) {
        val newest = snapshots.values.maxByOrNull { it.receivedMillis } ?: return
        snapshots.values.removeIf { it !== newest && nowMillis - it.receivedMillis > RETENTION_MILLIS }
        val present = HashMap<InstanceId, Instance>()
        snapshots.values.sortedBy { it.receivedMillis }.forEach { snapshot ->
            snapshot.instances.forEach { present[it.id] = it }
        }
        knownInstances.values.filter { it.instance.id !in present }.forEach { it.present = false }
        present.values.forEach {
            knownInstances[it.id] =
                KnownInstance(it, present = true, lastPresentMillis = nowMillis)
        }
    }

    private fun isRetained(
        known: KnownInstance,
        nowMillis: Long,
    ): Boolean {
        val lastSeenMillis = maxOf(known.lastPresentMillis, lastMessageMillis[known.instance.id] ?: Long.MIN_VALUE)
        return nowMillis - lastSeenMillis < RETENTION_MILLIS
    }

    private fun withState(instance: Instance): Instance =
        if (instance.id in leaving) instance.copy(state = Instance.State.LEAVING) else instance

    private fun Instance.isEntryOf(zone: ZoneName): Boolean = role == Instance.Role.ENTRY && this.zone == zone

    private class Snapshot(
        val sequence: Long,
        val instances: ImmutableList<Instance>,
        val receivedMillis: Long,
    )

    private class KnownInstance(
        val instance: Instance,
        var present: Boolean,
        val lastPresentMillis: Long,
    )

    companion object {
        /**
         * How long an instance missing from the list still counts as an owner of shares; exceeds the lag of the list.
         */
        const val RETENTION_MILLIS = 10_000L

        /** How long an instance missing from the list is remembered at all. */
        const val EXPIRY_MILLIS = 600_000L
    }
}
