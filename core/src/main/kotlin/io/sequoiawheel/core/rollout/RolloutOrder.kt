package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.ServiceName

/**
 * An operator's order to replace the version of a service.
 *
 * @property version the version that is to replace the others
 * @property durationMillis time from the order until its verdict is due
 * @property revision revision of the store at which the order was written, which identifies it among the orders of the
 *   service
 */
data class RolloutOrder(
    val service: ServiceName,
    val version: String,
    val durationMillis: Long,
    val revision: Long,
)

/** How far an order has been carried out. */
enum class RolloutStage(
    val isFinal: Boolean,
) {
    /** The new version receives a small share of the requests. */
    CANARY(isFinal = false),

    /** New requests go to the new version, and runs on the old one are moved. */
    SHIFTING(isFinal = false),

    /** Only the new version receives requests. */
    COMPLETE(isFinal = true),

    /** The new version receives no requests. */
    REVERTED(isFinal = true),
}
