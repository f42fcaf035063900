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
 * Reconciles the models loaded in engines by sending orders, while this instance holds the orders lease.
 *
 * @property weightStore the store that must permit each load of model weights
 * @property readLoad returns the load report of a replica, or null if it cannot be read
 */
internal class EngineOrderController(
    private val engines: EngineOrders,
    private val weightStore: WeightStore,
    private val clock: Clock,
    private val readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) {
    /** Runs the reconciliation until cancelled. */
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
            // This instance sees only its own requests, so all models count as in use and keep their last warm replica.
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
        // The weight store limits the rate further; this limit keeps one deployment from using up that rate at once.
        const val LOADS_PER_MINUTE = 6.0
    }
}
