package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.order.EngineOrders
import io.sequoiawheel.core.order.OrderController
import io.sequoiawheel.core.order.OrderIssuer
import io.sequoiawheel.core.order.WeightLoadLimiter
import io.sequoiawheel.core.platform.WeightStore

/**
 * The orders to engines, as far as this instance holds their lease.
 *
 * @property weightStore asked before each load
 * @property readLoad returns the load report of a replica, or null if it cannot be read
 */
internal class OrderDuty(
    private val engines: EngineOrders,
    private val weightStore: WeightStore,
    private val clock: Clock,
    private val readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) {
    /** Reconciles until cancelled. */
    suspend fun run(
        lease: Lease,
        termMillis: Long,
        documents: () -> List<ServiceDocument>,
        membership: MembershipTable,
    ) {
        OrderController(
            engines = engines,
            issuer = OrderIssuer(engines, clock, { lease.tenure }, termMillis),
            loadLimiter = WeightLoadLimiter(clock, LOADS_PER_MINUTE),
            weightStore = weightStore,
            documents = documents,
            replicas = { membership.replicas(it.service) },
            models = { replica -> modelsOf(replica, documents()) },
            // This instance sees only its own requests, so every model counts as in use: the last warm replica stays.
            inUse = { _, _ -> true },
            holdsLease = lease::isHeld,
        ).run()
    }

    private suspend fun modelsOf(
        replica: Instance,
        documents: List<ServiceDocument>,
    ): Set<String>? {
        val document = documents.firstOrNull { it.service == replica.service } ?: return null
        return readLoad(replica, document)?.models?.toSet()
    }

    private companion object {
        // The store's own refusals bound the rate further; this keeps one deployment from using it up at once.
        const val LOADS_PER_MINUTE = 6.0
    }
}
