package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.InstanceId

/**
 * The tree through which a zone relays configuration and membership. The root is the first instance in the rendezvous
 * order of [key]; node n has the children 4n + 1 to 4n + 4. Every instance computes the tree from its own list, so two
 * instances can temporarily have different trees; digest comparison repairs the updates lost in the meantime.
 */
class RelayTree(
    key: String,
    instances: Collection<InstanceId>,
    private val fanOut: Int = FAN_OUT,
) {
    private val order = RendezvousHashing.order(key, instances)

    /** The root, or null if the tree is empty. */
    val root: InstanceId? get() = order.firstOrNull()

    /** The first two instances of the order, which poll the platform for the zone. */
    val watchers: List<InstanceId> get() = order.take(WATCHER_COUNT)

    /** Returns the parent of [instance], or null for the root and for an instance outside the tree. */
    fun parent(instance: InstanceId): InstanceId? {
        val position = order.indexOf(instance)
        return if (position <= 0) null else order[(position - 1) / fanOut]
    }

    /** Returns the children of [instance], at most [fanOut] of them. */
    fun children(instance: InstanceId): List<InstanceId> {
        val position = order.indexOf(instance)
        if (position < 0) return emptyList()
        val first = position * fanOut + 1
        return order.subList(first.coerceAtMost(order.size), (first + fanOut).coerceAtMost(order.size))
    }

    companion object {
        /** Maximum number of children of a node; 68 instances are reached in four hops. */
        const val FAN_OUT = 4

        /** Number of instances of a zone that poll the platform. */
        const val WATCHER_COUNT = 2
    }
}
