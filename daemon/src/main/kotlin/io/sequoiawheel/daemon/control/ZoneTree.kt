package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.RepairPeers
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/** This instance's place in the relay tree of its zone, computed from its current membership view. */
internal class ZoneTree(
    private val membership: MembershipTable,
    private val self: InstanceId,
    val zone: ZoneName,
) {
    /** Whether this instance polls the platform for its zone. */
    val isWatcher: Boolean get() = self in tree().watchers

    /** Whether this instance is the root, which reports for the zone. */
    val isRoot: Boolean get() = tree().root == self

    /** Live entry instances of the zone, this one included. */
    val size: Int get() = membership.liveEntries(zone).size

    /** The instance above this one, or null for the root. */
    fun parent(): Instance? = tree().parent(self)?.let(::find)

    /** Where updates go: to the children, and from a watcher also to the root, which covers the rest of the zone. */
    fun receivers(): List<Instance> {
        val tree = tree()
        val root = tree.root?.takeIf { self in tree.watchers && it != self }
        return (tree.children(self) + listOfNotNull(root)).mapNotNull(::find)
    }

    /** Whom to compare digests with if the parent does not answer, in this order. */
    fun repairPeers(): List<Instance> =
        RepairPeers.candidates(self, tree(), foreignPeers().map { it.id }.take(FOREIGN_REPAIR_PEERS)).mapNotNull(::find)

    /** Other live entry instances of the zone. */
    fun peers(): List<Instance> = membership.liveEntries(zone).filter { it.id != self }

    /** Live entry instances of other zones. */
    fun foreignPeers(): List<Instance> =
        membership.listed().filter {
            it.role == Instance.Role.ENTRY && it.zone != zone && it.state == Instance.State.LIVE
        }

    private fun tree() = RelayTree("zone/$zone", membership.liveEntries(zone).map { it.id })

    private fun find(id: InstanceId): Instance? = membership.listed().firstOrNull { it.id == id }

    private companion object {
        /** Instances of other zones that are asked when nobody of the zone answers. */
        const val FOREIGN_REPAIR_PEERS = 2
    }
}
