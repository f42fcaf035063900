package io.sequoiawheel.core.order

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.lease.Tenure
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument

/**
 * Sends orders while the lease is held and confirms each by reading it back from the engine.
 *
 * @param tenure the current tenure of this instance, or null if it does not hold the lease
 * @param termMillis term of the lease. With engines that ignore fencing numbers, a new holder waits this long before
 *   its first order, so that orders sent by an earlier holder before it was paused have arrived
 */
class OrderIssuer(
    private val engines: EngineOrders,
    private val clock: Clock,
    private val tenure: () -> Tenure?,
    private val termMillis: Long,
) {
    /**
     * Sends [order] to [replica] and confirms it. Failures: `LEASE_LOST` if nothing was sent (with a retry time during
     * the initial wait), `ORDER_FENCED`, or `ORDER_UNCONFIRMED` if the engine does not report the order afterwards.
     */
    suspend fun issue(
        replica: Instance,
        order: Order,
        fencing: ServiceDocument.Fencing,
    ): Either<Failure, HeldOrder> {
        val currentTenure = tenure() ?: return Failure(ResultCode.LEASE_LOST).left()
        if (fencing == ServiceDocument.Fencing.IGNORED) {
            val waitMillis = currentTenure.acquiredAt + termMillis - clock.nowMillis()
            if (waitMillis > 0) return Failure(ResultCode.LEASE_LOST, "waiting for one lease term", waitMillis).left()
        }
        val putResult = engines.put(replica, order, currentTenure.fencing)
        putResult.leftOrNull()?.takeIf { it.code == ResultCode.ORDER_FENCED }?.let { return it.left() }
        return engines.read(replica).mapLeft { Failure(ResultCode.ORDER_UNCONFIRMED, it.detail) }.flatMap { orders ->
            orders.firstOrNull { it.order == order }?.right()
                ?: Failure(ResultCode.ORDER_UNCONFIRMED, "${replica.id} does not hold ${order.target}").left()
        }
    }
}
