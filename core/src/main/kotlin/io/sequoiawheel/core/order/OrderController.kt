package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.platform.WeightStore
import kotlinx.coroutines.delay

/**
 * Reconciles the replicas of services with their documents while this instance holds the lease.
 *
 * @param documents the service documents in force
 * @param replicas the replicas of a service, from the membership table
 * @param models the models in the load report of a replica, or null if the report cannot be read
 * @param inUse whether requests for a model of a service arrived recently
 * @param holdsLease whether this instance holds the lease now
 */
class OrderController(
    private val engines: EngineOrders,
    private val issuer: OrderIssuer,
    private val loadLimiter: WeightLoadLimiter,
    private val weightStore: WeightStore,
    private val documents: () -> List<ServiceDocument>,
    private val replicas: (ServiceDocument) -> List<Instance>,
    private val models: suspend (Instance) -> Set<String>?,
    private val inUse: (ServiceDocument, String) -> Boolean,
    private val holdsLease: () -> Boolean,
) {
    /** Reconciles every [intervalMillis] until cancelled. */
    suspend fun run(intervalMillis: Long = DEFAULT_INTERVAL_MILLIS) {
        while (true) {
            if (holdsLease()) {
                documents().filter { it.kind == ServiceDocument.Kind.MODEL_ENGINE }.forEach {
                    reconcile(
                        it,
                    )
                }
            }
            delay(intervalMillis)
        }
    }

    /** Runs one pass over the replicas of [document]; returns the number of confirmed orders. */
    suspend fun reconcile(document: ServiceDocument): Int {
        val known = replicas(document)
        val reachable = known.mapNotNull { read(it) }
        // A replica whose state cannot be read does not count as warm, so no other replica is unloaded because of it.
        val steps = OrderPlanner.plan(document, reachable) { inUse(document, it) }
        return steps.count { step -> holdsLease() && perform(step, document) }
    }

    private suspend fun read(replica: Instance): ReplicaOrders? {
        val held = engines.read(replica).getOrNull() ?: return null
        return ReplicaOrders(replica, models(replica) ?: return null, held)
    }

    private suspend fun perform(
        step: OrderPlanner.Step,
        document: ServiceDocument,
    ): Boolean {
        if (step.needsWeights) {
            if (loadLimiter.tryAcquire() > 0) return false
            if (weightStore.requestLoad(step.order.target).isLeft()) return false
        }
        return issuer.issue(step.replica, step.order, document.fencing).isRight()
    }

    private companion object {
        const val DEFAULT_INTERVAL_MILLIS = 2_000L
    }
}
