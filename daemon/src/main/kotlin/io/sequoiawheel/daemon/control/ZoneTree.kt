package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.RepairPeers
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/** The relay tree of a zone as seen by this instance, computed from the current membership view. */
internal class ZoneTree(
    private val membership: MembershipTable,
    private val self: InstanceId,
    val zone: ZoneName,
) {
    /** Whether this instance polls the platform for its zone. */
    val isWatcher: Boolean get() = self in tree().watchers

    /** Whether this instance is the root, which writes the status report of the zone. */
    val isRoot: Boolean get() = tree().root == self

    /** The number of live entry instances in the zone, including this one. */
    val size: Int get() = membership.liveEntries(zone).size

    /** Returns the parent of this instance, or null for the root. */
    fun parent(): Instance? = tree().parent(self)?.let(::find)

    /**
     * Returns the receivers of updates: the children and, if this instance is a watcher, the root, through which
     * updates reach the rest of the zone.
     */
    fun receivers(): List<Instance> {
        val tree = tree()
        val root = tree.root?.takeIf { self in tree.watchers && it != self }
        return (tree.children(self) + listOfNotNull(root)).mapNotNull(::find)
    }

    /** Returns the peers to compare digests with if the parent does not answer, in order of preference. */
    fun repairPeers(): List<Instance> =
        RepairPeers.candidates(self, tree(), foreignPeers().map { it.id }.take(FOREIGN_REPAIR_PEERS)).mapNotNull(::find)

    /** Returns the other live entry instances of the zone. */
    fun peers(): List<Instance> = membership.liveEntries(zone).filter { it.id != self }

    /** Returns the live entry instances of other zones. */
    fun foreignPeers(): List<Instance> =
        membership.listed().filter {
            it.role == Instance.Role.ENTRY && it.zone != zone && it.state == Instance.State.LIVE
        }

    private fun tree() = RelayTree("zone/$zone", membership.liveEntries(zone).map { it.id })

    private fun find(id: InstanceId): Instance? = membership.listed().firstOrNull { it.id == id }

    private companion object {
        /** The number of instances of other zones that are tried when no instance of this zone answers. */
        const val FOREIGN_REPAIR_PEERS = 2
    }
}
