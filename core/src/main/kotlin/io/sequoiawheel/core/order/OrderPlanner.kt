/*
 * Computes the orders that bring the replicas of a service to the state in its document. The plan depends only on what
 * the engines report, so a new lease holder continues where the previous one stopped, and a lost order is planned
 * again.
 */
package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ServiceDocument

/** Plans orders. Loads come before unloads; an unload is planned only while another replica stays warm. */
object OrderPlanner {
    /** An order for one replica; [needsWeights] is true if the engine must load from the weight store to fulfil it. */
    data class Step(
        val replica: Instance,
        val order: Order,
        val needsWeights: Boolean,
    )

    /**
     * Returns the steps for [document]. Only live replicas receive orders.
     *
     * @param inUse whether requests for a model arrived recently; its last warm replica is never unloaded
     */
    fun plan(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val live = replicas.filter { it.replica.state == Instance.State.LIVE }.sortedBy { it.replica.id.value }
        return roleSteps(document, live) +
            loadSteps(document, live, inUse) +
            versionAndAdapterSteps(document, live, inUse) +
            unloadSteps(document, live, inUse)
    }

    private fun roleSteps(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
    ): List<Step> =
        document.roles.mapNotNull { assignment ->
            replicas
                .firstOrNull { it.replica.id == assignment.replica && it.desiredState(Order.ROLE) != assignment.role }
                ?.step(Order(Order.ROLE, assignment.role), needsWeights = false)
        }

    private fun loadSteps(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val planned = HashMap<Instance, Int>()
        return document.models.flatMap { model ->
            val missing = requiredReplicas(model, replicas, inUse) - replicas.count { it.isLoadedOrLoading(model.name) }
            replicas
                .filterNot { it.isLoadedOrLoading(model.name) }
                .sortedBy { it.models.size + (planned[it.replica] ?: 0) }
                .take(maxOf(0, missing))
                .onEach { planned.merge(it.replica, 1, Int::plus) }
                .map { it.step(Order(Order.modelTarget(model.name), Order.LOADED), needsWeights = true) }
        }
    }

    /** Returns at least 2 while the only warm replica of a model in use must change its version. */
    private fun requiredReplicas(
        model: ServiceDocument.Model,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): Int {
        val onlyWarmReplica = replicas.singleOrNull { it.isWarm(model.name) }
        val mustChangeVersion = onlyWarmReplica != null && inUse(model.name) && !onlyWarmReplica.hasVersion(model)
        return if (mustChangeVersion) maxOf(2, model.minimumWarmReplicas) else model.minimumWarmReplicas
    }

    /** Plans version changes, for at most one replica per model and pass, and adapter loads for the warm replicas. */
    private fun versionAndAdapterSteps(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> =
        document.models.flatMap { model ->
            val holders = replicas.filter { it.isWarm(model.name) }
            val target = Order.versionTarget(model.name)
            val version =
                holders
                    .firstOrNull { !it.hasVersion(model) }
                    ?.takeIf { candidate ->
                        val others = holders - candidate
                        others.all { it.hasReached(target) } && (others.isNotEmpty() || !inUse(model.name))
                    }?.step(Order(target, model.version), needsWeights = true)
            listOfNotNull(version) + holders.flatMap { adapterSteps(model, it) }
        }

    private fun adapterSteps(
        model: ServiceDocument.Model,
        replica: ReplicaOrders,
    ): List<Step> =
        model.adapters
            .map { Order.adapterTarget(it.name) }
            .filter { replica.desiredState(it) != Order.LOADED }
            .map { replica.step(Order(it, Order.LOADED), needsWeights = true) }

    private fun unloadSteps(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val configuredModels = document.models.map { it.name }.toSet()
        val unconfiguredModels = replicas.flatMap { it.models }.distinct().filterNot { it in configuredModels }
        return unconfiguredModels.flatMap { model ->
            val warm = replicas.filter { it.isWarm(model) }
            val removable = if (inUse(model)) warm.drop(1) else warm
            // At most one unload per model and pass; the next pass plans from what the engines then report.
            removable.takeLast(1).map { it.step(Order(Order.modelTarget(model), Order.UNLOADED), needsWeights = false) }
        }
    }

    private fun ReplicaOrders.hasVersion(model: ServiceDocument.Model) =
        (desiredState(Order.versionTarget(model.name)) ?: DEFAULT_VERSION) == model.version

    private fun ReplicaOrders.hasReached(target: String) = held.none { it.order.target == target && !it.isInEffect }

    private fun ReplicaOrders.step(
        order: Order,
        needsWeights: Boolean,
    ) = Step(replica, order, needsWeights)

    private const val DEFAULT_VERSION = "1"
}
