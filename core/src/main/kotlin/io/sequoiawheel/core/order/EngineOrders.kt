package io.sequoiawheel.core.order

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance

/** Sends orders to model engines and reads the orders that they hold. */
interface EngineOrders {
    /**
     * Sends [order]. Failures: `ORDER_FENCED` if the engine saw a number above [fencing], `CONNECT_FAILED` or others.
     */
    suspend fun put(
        replica: Instance,
        order: Order,
        fencing: Long,
    ): Either<Failure, Unit>

    /** Reads the orders that the engine holds. */
    suspend fun read(replica: Instance): Either<Failure, List<HeldOrder>>
}

/**
 * A desired state of one target. Orders are idempotent: sending one twice has the same effect as sending it once.
 *
 * @property target `model/<name>`, `adapter/<name>`, `version/<model>` or `role`
 * @property desired `loaded` or `unloaded` for models and adapters, else the version or role
 */
data class Order(
    val target: String,
    val desired: String,
) {
    companion object {
        /** Desired state of a model or adapter that must be in memory. */
        const val LOADED = "loaded"

        /** Desired state of a model or adapter that must be removed from memory. */
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

/** An order held by an engine; [isInEffect] is true once the engine has reached the desired state. */
data class HeldOrder(
    val order: Order,
    val fencing: Long,
    val isInEffect: Boolean,
)
