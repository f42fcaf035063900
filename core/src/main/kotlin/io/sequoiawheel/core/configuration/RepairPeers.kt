package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.membership.RelayTree
import io.sequoiawheel.core.model.InstanceId

/** Whom an instance compares digests with. */
object RepairPeers {
    /**
     * Returns the peers to ask in turn until one answers: the tree parent, the zone's watchers, and watchers of other
     * zones. With the parent alone, a paused instance keeps everything below it on an old configuration; with the zone
     * alone, two paused watchers do.
     */
    fun candidates(
        self: InstanceId,
        tree: RelayTree,
        foreignWatchers: List<InstanceId>,
    ): List<InstanceId> = (listOfNotNull(tree.parent(self)) + tree.watchers + foreignWatchers).distinct() - self
}
