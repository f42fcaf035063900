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
 * Sends orders under a lease and confirms them by read-back.
 *
 * @param tenure the tenure in which this instance may act now, or null
 * @param termMillis term of the lease; for engines that ignore fencing numbers, a new holder waits this long before
 *   its first order, so that the orders that an earlier holder sent before it was paused have arrived
 */
class OrderIssuer(
    private val engines: EngineOrders,
    private val clock: Clock,
    private val tenure: () -> Tenure?,
    private val termMillis: Long,
) {
    /**
     * Brings [replica] to [order]. Failures: `LEASE_LOST` (nothing was sent; with a time to come back while waiting
     * for the extra term), `ORDER_FENCED`, or `ORDER_UNCONFIRMED` if the engine does not show the order afterwards.
     */
    suspend fun issue(
        replica: Instance,
        order: Order,
        fencing: ServiceDocument.Fencing,
    ): Either<Failure, HeldOrder> {
        val held = tenure() ?: return Failure(ResultCode.LEASE_LOST).left()
        if (fencing == ServiceDocument.Fencing.IGNORED) {
            val wait = held.acquiredAt + termMillis - clock.nowMillis()
            if (wait > 0) return Failure(ResultCode.LEASE_LOST, "waiting one term", wait).left()
        }
        val sent = engines.put(replica, order, held.fencing)
        sent.leftOrNull()?.takeIf { it.code == ResultCode.ORDER_FENCED }?.let { return it.left() }
        return engines.read(replica).mapLeft { Failure(ResultCode.ORDER_UNCONFIRMED, it.detail) }.flatMap { orders ->
            orders.firstOrNull { it.order == order }?.right()
                ?: Failure(ResultCode.ORDER_UNCONFIRMED, "${replica.id} does not hold ${order.target}").left()
        }
    }
}
