package io.sequoiawheel.core.order

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance

/** Access to the orders of model engines. */
interface EngineOrders {
    /** Sends [order] with [fencing]; `ORDER_FENCED` if the engine saw a newer number, `CONNECT_FAILED` or other. */
    suspend fun put(
        replica: Instance,
        order: Order,
        fencing: Long,
    ): Either<Failure, Unit>

    /** Reads the orders that the engine holds. */
    suspend fun read(replica: Instance): Either<Failure, List<HeldOrder>>
}

/**
 * A desired state, never a change: sending it twice has the effect of sending it once.
 *
 * @property target `model/<name>`, `adapter/<name>`, `version/<model>` or `role`
 * @property desired `loaded` or `unloaded` for models and adapters, else the version or role
 */
data class Order(
    val target: String,
    val desired: String,
) {
    companion object {
        /** Desired state of a model or adapter that is to be in memory. */
        const val LOADED = "loaded"

        /** Desired state of a model or adapter that is to leave memory. */
        const val UNLOADED = "unloaded"

        /** The target that sets a replica's role. */
        const val ROLE = "role"

        /** Returns the target of [model]. */
        fun modelTarget(model: String): String = "model/$model"

        /** Returns the target of [adapter]. */
        fun adapterTarget(adapter: String): String = "adapter/$adapter"

        /** Returns the target that sets the version of [model]. */
        fun versionTarget(model: String): String = "version/$model"
    }
}

/** An order as an engine holds it; [isInEffect] tells whether the engine has reached the desired state. */
data class HeldOrder(
    val order: Order,
    val fencing: Long,
    val isInEffect: Boolean,
)
