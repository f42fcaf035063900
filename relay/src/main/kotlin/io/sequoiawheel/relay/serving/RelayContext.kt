package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.relay.ColdShare
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaPlacement
import io.sequoiawheel.core.relay.ReplicaSelection
import io.sequoiawheel.core.relay.Route
import io.sequoiawheel.core.relay.ServiceBounds
import io.sequoiawheel.core.relay.SlidingWindowRetryBudget
import io.sequoiawheel.relay.backend.BackendPool
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import org.apache.commons.rng.UniformRandomProvider

/** What both kinds of relay share. Confined to the event loop. */
internal class RelayContext(
    val clock: Clock,
    val directory: ReplicaDirectory,
    val selection: ReplicaSelection,
    val pool: BackendPool,
    val log: DecisionLog,
    val metrics: RelayMetrics,
    private val random: UniformRandomProvider,
    private val bounds: ServiceBounds,
    private val instanceCount: () -> Int,
) {
    private val allowances = HashMap<ServiceName, SlidingWindowRetryBudget>()

    /** Decides where requests go. */
    val placement = ReplicaPlacement(selection, random, ::mayStart)

    /** Returns the repeats that this instance may make to [service]. */
    fun allowance(service: ServiceName): SlidingWindowRetryBudget =
        allowances.getOrPut(service) {
            SlidingWindowRetryBudget(clock, bounds.retryRatio, ::retryExtra, bounds.retryWindowMillis)
        }

    private fun retryExtra(): Int =
        (bounds.retryExtra / instanceCount().coerceAtLeast(MINIMUM_INSTANCES)).coerceAtLeast(1)

    /** Draws the service of a request by the route's weights. */
    fun service(
        route: Route,
        configuration: RelayConfiguration,
    ): RelayService? {
        val total = route.targets.sumOf { it.weight }
        var point = random.nextDouble() * total
        for (target in route.targets) {
            point -= target.weight
            if (point <= 0) return configuration.services[target.service]
        }
        return configuration.services[route.targets.last().service]
    }

    /** Returns the replicas of [service] that bear one more run's copy now, without those in [excluded]. */
    fun candidates(
        service: RelayService,
        excluded: Set<Replica>,
    ): List<Replica> = directory.usable(service.name).filter { it !in excluded && !it.isPaused }

    /** Returns when callers may come back while all replicas of [service] ask for quiet, or null if not all do. */
    fun comeBackMillis(service: RelayService): Long? = placement.retryAfterMillis(directory.usable(service.name))

    /** Whether a request may be sent to [replica] at this moment. */
    fun mayReceive(replica: Replica): Boolean = directory.mayReceive(replica) && !replica.isPaused

    private fun mayStart(
        replica: Replica,
        service: RelayService,
    ): Boolean {
        if (!replica.isCold || service.coldRequestsPerSecond <= 0) return true
        val share = ColdShare.of(service.coldRequestsPerSecond, bounds, instanceCount())
        return replica.coldRate.tryTake(share.perSecond, share.burst)
    }

    private companion object {
        /** Instances that may exist before their number is known. */
        const val MINIMUM_INSTANCES = 8
    }
}
