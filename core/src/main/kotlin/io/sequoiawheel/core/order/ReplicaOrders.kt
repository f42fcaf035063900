package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Instance

/**
 * What is known of one replica when orders are planned.
 *
 * @property models models in memory and warm, from the load report
 * @property held orders that the engine holds, from its read-back
 */
data class ReplicaOrders(
    val replica: Instance,
    val models: Set<String>,
    val held: List<HeldOrder>,
) {
    /** Returns the desired state that the engine holds for [target], or null. */
    fun desired(target: String): String? = held.lastOrNull { it.order.target == target }?.order?.desired

    /** Returns whether the engine holds or has reached the loading of [model]. */
    fun hasOrIsLoading(model: String): Boolean =
        when (desired(Order.modelTarget(model))) {
            Order.LOADED -> true
            Order.UNLOADED -> false
            else -> model in models
        }

    /** Returns whether [model] is warm and not ordered away. */
    fun isWarm(model: String): Boolean = model in models && desired(Order.modelTarget(model)) != Order.UNLOADED
}
