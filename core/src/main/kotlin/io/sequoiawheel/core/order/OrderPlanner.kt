/*
 * Which orders bring the replicas of a service to its document. The plan is a function of what the engines report, so a
 * new lease holder continues where the last one stopped, and a lost order is simply planned again.
 */
package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ServiceDocument

/** Plans orders. Loads come before unloads; an unload is planned only while another replica stays warm. */
object OrderPlanner {
    /** An order for one replica; [needsWeights] if it makes the engine read from the weight store. */
    data class Step(
        val replica: Instance,
        val order: Order,
        val needsWeights: Boolean,
    )

    /**
     * Returns the steps for [document]. Leaving replicas get no loads.
     *
     * @param inUse whether requests for a model arrived recently; its last warm replica is never unloaded
     */
    fun plan(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val live = replicas.filter { it.replica.state == Instance.State.LIVE }.sortedBy { it.replica.id.value }
        return roles(document, live) +
            loads(document, live, inUse) +
            contents(document, live, inUse) +
            unloads(document, live, inUse)
    }

    private fun roles(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
    ): List<Step> =
        document.roles.mapNotNull { assignment ->
            replicas
                .firstOrNull { it.replica.id == assignment.replica && it.desired(Order.ROLE) != assignment.role }
                ?.step(Order(Order.ROLE, assignment.role), needsWeights = false)
        }

    private fun loads(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val planned = HashMap<Instance, Int>()
        return document.models.flatMap { model ->
            val missing = neededReplicas(model, replicas, inUse) - replicas.count { it.hasOrIsLoading(model.name) }
            replicas
                .filterNot { it.hasOrIsLoading(model.name) }
                .sortedBy { it.models.size + (planned[it.replica] ?: 0) }
                .take(maxOf(0, missing))
                .onEach { planned.merge(it.replica, 1, Int::plus) }
                .map { it.step(Order(Order.modelTarget(model.name), Order.LOADED), needsWeights = true) }
        }
    }

    /** A second replica is needed while the only warm one of a model in use must change its version. */
    private fun neededReplicas(
        model: ServiceDocument.Model,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): Int {
        val only = replicas.singleOrNull { it.isWarm(model.name) }
        val changes = only != null && inUse(model.name) && !only.hasVersion(model)
        return if (changes) maxOf(2, model.minimumWarmReplicas) else model.minimumWarmReplicas
    }

    /** Versions and adapters of the models that a replica has; one replica per model and pass changes its version. */
    private fun contents(
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
                        others.all { it.isSettled(target) } && (others.isNotEmpty() || !inUse(model.name))
                    }?.step(Order(target, model.version), needsWeights = true)
            listOfNotNull(version) + holders.flatMap { adapters(model, it) }
        }

    private fun adapters(
        model: ServiceDocument.Model,
        replica: ReplicaOrders,
    ): List<Step> =
        model.adapters
            .map { Order.adapterTarget(it.name) }
            .filter { replica.desired(it) != Order.LOADED }
            .map { replica.step(Order(it, Order.LOADED), needsWeights = true) }

    private fun unloads(
        document: ServiceDocument,
        replicas: List<ReplicaOrders>,
        inUse: (String) -> Boolean,
    ): List<Step> {
        val wanted = document.models.map { it.name }.toSet()
        val unwanted = replicas.flatMap { it.models }.distinct().filterNot { it in wanted }
        return unwanted.flatMap { model ->
            val warm = replicas.filter { it.isWarm(model) }
            val removable = if (inUse(model)) warm.drop(1) else warm
            // One per model and pass: the next pass sees what the engines report and decides again.
            removable.takeLast(1).map { it.step(Order(Order.modelTarget(model), Order.UNLOADED), needsWeights = false) }
        }
    }

    private fun ReplicaOrders.hasVersion(model: ServiceDocument.Model) =
        (desired(Order.versionTarget(model.name)) ?: DEFAULT_VERSION) == model.version

    private fun ReplicaOrders.isSettled(target: String) = held.none { it.order.target == target && !it.isInEffect }

    private fun ReplicaOrders.step(
        order: Order,
        needsWeights: Boolean,
    ) = Step(replica, order, needsWeights)

    private const val DEFAULT_VERSION = "1"
}
