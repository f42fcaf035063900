package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.InstanceId

/**
 * The tree along which a zone relays configuration and membership. The root is the first instance of the rendezvous
 * order of [key]; node n has the children 4n + 1 to 4n + 4. Every instance computes it from its own list, so two
 * lists can give different trees for a while; the digest comparison repairs what is lost meanwhile.
 */
class RelayTree(
    key: String,
    instances: Collection<InstanceId>,
    private val fanOut: Int = FAN_OUT,
) {
    private val order = Rendezvous.order(key, instances)

    /** The root, or null if the tree is empty. */
    val root: InstanceId? get() = order.firstOrNull()

    /** The instances that poll the platform for the zone: the first two of the order. */
    val watchers: List<InstanceId> get() = order.take(WATCHERS)

    /** Returns the parent of [instance], or null for the root and for an instance outside the tree. */
    fun parent(instance: InstanceId): InstanceId? {
        val position = order.indexOf(instance)
        return if (position <= 0) null else order[(position - 1) / fanOut]
    }

    /** Returns the children of [instance], at most the fan-out. */
    fun children(instance: InstanceId): List<InstanceId> {
        val position = order.indexOf(instance)
        if (position < 0) return emptyList()
        val first = position * fanOut + 1
        return order.subList(first.coerceAtMost(order.size), (first + fanOut).coerceAtMost(order.size))
    }

    companion object {
        /** Children of a node: 68 instances are reached in four hops. */
        const val FAN_OUT = 4

        /** Instances of a zone that poll the platform. */
        const val WATCHERS = 2
    }
}
