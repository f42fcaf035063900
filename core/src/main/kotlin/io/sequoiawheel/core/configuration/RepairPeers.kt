package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.InstanceId

/** Selects the peers with which an instance compares configuration digests (anti-entropy). */
object RepairPeers {
    /**
     * Returns the peers to query in order until one answers: the tree parent, the zone's watchers, and watchers of
     * other zones. If only the parent were queried, one paused instance would keep its subtree on an old configuration;
     * with peers of the own zone only, two paused watchers would do so for the whole zone.
     */
    fun candidates(
        self: InstanceId,
        tree: RelayTree,
        otherZoneWatchers: List<InstanceId>,
    ): List<InstanceId> = (listOfNotNull(tree.parent(self)) + tree.watchers + otherZoneWatchers).distinct() - self
}
