package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Instance

/**
 * The reported state of one replica, as input for planning orders.
 *
 * @property models models that are loaded and warm, from the load report
 * @property held orders that the engine holds, as read back from it
 */
data class ReplicaOrders(
    val replica: Instance,
    val models: Set<String>,
    val held: List<HeldOrder>,
) {
    /** Returns the desired state of the latest order for [target] that the engine holds, or null. */
    fun desiredState(target: String): String? = held.lastOrNull { it.order.target == target }?.order?.desired

    /** Returns whether [model] is loaded or ordered to be loaded, and not ordered to be unloaded. */
    fun isLoadedOrLoading(model: String): Boolean =
        when (desiredState(Order.modelTarget(model))) {
            Order.LOADED -> true
            Order.UNLOADED -> false
            else -> model in models
        }

    /** Returns whether [model] is warm and not ordered to be unloaded. */
    fun isWarm(model: String): Boolean = model in models && desiredState(Order.modelTarget(model)) != Order.UNLOADED
}
