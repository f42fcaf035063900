/*
 * Which instances exist, from the lagging lists of the zone's watchers and from what peers prove by talking. The table
 * is careful in two directions: an instance that vanished still counts for a while where counting too few is unsafe
 * (shares of a replica), and one that was ever leaving never receives new work again.
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
 * @param self the entry instance itself, which is always known
 */
class MembershipTable(
    private val self: Instance,
) {
    private val snapshots = HashMap<InstanceId, Snapshot>()
    private val seen = HashMap<InstanceId, Entry>()
    private val leaving = HashSet<InstanceId>()
    private val heardMillis = HashMap<InstanceId, Long>()
    private var confirmedMillis: Long? = null

    /**
     * Applies the list of one watcher and returns whether it was new. An update with a lower sequence than the last one
     * of the same watcher, or without any instance, is ignored: an empty list is a fault of its source.
     */
    @Synchronized
    fun apply(
        update: MembershipUpdate,
        nowMillis: Long,
    ): Boolean {
        val old = snapshots[update.watcher]
        if (update.instances.isEmpty() || old != null && old.sequence > update.sequence) return false
        confirmedMillis = nowMillis
        snapshots[update.watcher] = Snapshot(update.sequence, update.instances, nowMillis)
        val changed = old?.instances != update.instances
        if (changed) merge(update.instances)
        refresh(nowMillis)
        return changed
    }

    /** Records that the current list was confirmed by a watcher or by the tree, without change. */
    @Synchronized
    fun confirm(nowMillis: Long) {
        confirmedMillis = nowMillis
        refresh(nowMillis)
    }

    /** Records a message of [peer], which proves that it is running. */
    @Synchronized
    fun heardFrom(
        peer: InstanceId,
        nowMillis: Long,
    ) {
        heardMillis[peer] = nowMillis
    }

    /** Marks [instance] as leaving, on its own word or that of a peer. The mark stays. */
    @Synchronized
    fun markLeaving(instance: InstanceId) {
        leaving += instance
    }

    /** Returns the listed instances; leaving ones have that state. Vanished ones are not contained. */
    @Synchronized
    fun listed(): ImmutableList<Instance> =
        seen.values
            .filter { it.present }
            .map { withState(it.instance) }
            .sortedBy { it.id.value }
            .toImmutableList()

    /** Returns the listed replicas of [service]. */
    fun replicas(service: ServiceName): List<Instance> = listed().filter { it.service == service }

    /** Returns the live entry instances of [zone], this one included unless it leaves. */
    fun liveEntries(zone: ZoneName): List<Instance> {
        val listed = listed().filter { it.role == Instance.Role.ENTRY && it.zone == zone }
        val all = if (zone == self.zone && listed.none { it.id == self.id }) listed + withState(self) else listed
        return all.filter { it.state == Instance.State.LIVE }
    }

    /** Returns whether [instance] may receive new work as far as the list knows. */
    @Synchronized
    fun mayReceiveWork(instance: InstanceId): Boolean = seen[instance]?.present == true && instance !in leaving

    /**
     * Returns the entry instances of [zone] that may hold room at its replicas: listed, leaving, vanished for less than
     * the hold period, or heard within it.
     */
    @Synchronized
    fun entries(
        zone: ZoneName,
        nowMillis: Long,
    ): Set<InstanceId> {
        val known = seen.values.filter { it.instance.isEntryOf(zone) && (it.present || isHeld(it, nowMillis)) }
        val own = if (zone == self.zone) setOf(self.id) else emptySet()
        return known.mapTo(HashSet()) { it.instance.id } + own
    }

    /** Returns the age of the last confirmation of the list, or null if there was none. */
    @Synchronized
    fun viewAgeMillis(nowMillis: Long): Long? = confirmedMillis?.let { nowMillis - it }

    /** Returns a digest of the listed instances and their states, equal for equal views. */
    fun digest(): Long {
        val text = listed().joinToString("\n") { "${it.id} ${it.state} ${it.address} ${it.zone}" }
        return MurmurHash3.hash128x64(text.encodeToByteArray())[0]
    }

    /** Forgets what no decision needs any more. */
    @Synchronized
    fun prune(nowMillis: Long) {
        heardMillis.values.removeIf { nowMillis - it > FORGET_MILLIS }
        seen.values.removeIf { !it.present && nowMillis - it.lastPresentMillis > FORGET_MILLIS }
        leaving.removeIf { it !in seen && it != self.id }
    }

    private fun merge(instances: List<Instance>) {
        instances.filter { it.state == Instance.State.LEAVING }.forEach { leaving += it.id }
    }

    // An instance is present if any current watcher lists it, so that two lists with different lag do not flap.
    private fun refresh(nowMillis: Long) {
        val newest = snapshots.values.maxByOrNull { it.receivedMillis } ?: return
        snapshots.values.removeIf { it !== newest && nowMillis - it.receivedMillis > HOLD_MILLIS }
        val present = HashMap<InstanceId, Instance>()
        snapshots.values.sortedBy { it.receivedMillis }.forEach { snapshot ->
            snapshot.instances.forEach { present[it.id] = it }
        }
        seen.values.filter { it.instance.id !in present }.forEach { it.present = false }
        present.values.forEach { seen[it.id] = Entry(it, present = true, lastPresentMillis = nowMillis) }
    }

    private fun isHeld(
        entry: Entry,
        nowMillis: Long,
    ): Boolean {
        val lastSign = maxOf(entry.lastPresentMillis, heardMillis[entry.instance.id] ?: Long.MIN_VALUE)
        return nowMillis - lastSign < HOLD_MILLIS
    }

    private fun withState(instance: Instance): Instance =
        if (instance.id in leaving) instance.copy(state = Instance.State.LEAVING) else instance

    private fun Instance.isEntryOf(zone: ZoneName): Boolean = role == Instance.Role.ENTRY && this.zone == zone

    private class Snapshot(
        val sequence: Long,
        val instances: ImmutableList<Instance>,
        val receivedMillis: Long,
    )

    private class Entry(
        val instance: Instance,
        var present: Boolean,
        val lastPresentMillis: Long,
    )

    companion object {
        /** How long a vanished instance still counts as an owner of shares; longer than the lag of the list. */
        const val HOLD_MILLIS = 10_000L

        /** How long a vanished instance is remembered at all. */
        const val FORGET_MILLIS = 600_000L
    }
}
