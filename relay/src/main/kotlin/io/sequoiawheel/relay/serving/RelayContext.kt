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

/** State shared by [CallRelay] and [GenerationRelay]. Confined to the event loop. */
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
    private val retryBudgets = HashMap<ServiceName, SlidingWindowRetryBudget>()

    /** Selects the replica for each request. */
    val placement = ReplicaPlacement(selection, random, ::tryAdmit)

    /** Returns the limit on the retries that this instance may send to [service]. */
    fun retryBudget(service: ServiceName): SlidingWindowRetryBudget =
        retryBudgets.getOrPut(service) {
            SlidingWindowRetryBudget(clock, bounds.retryRatio, ::extraRetriesPerInstance, bounds.retryWindowMillis)
        }

    private fun extraRetriesPerInstance(): Int =
        (bounds.retryExtra / instanceCount().coerceAtLeast(MINIMUM_ASSUMED_INSTANCES)).coerceAtLeast(1)

    /** Selects the target service of a request at random, by the weights of the route's targets. */
    fun chooseService(
        route: Route,
        configuration: RelayConfiguration,
    ): RelayService? {
        val total = route.targets.sumOf { it.weight }
        var remainingWeight = random.nextDouble() * total
        for (target in route.targets) {
            remainingWeight -= target.weight
            if (remainingWeight <= 0) return configuration.services[target.service]
        }
        return configuration.services[route.targets.last().service]
    }

    /** Returns the replicas of [service] that may currently receive a copy of a run, except those in [excluded]. */
    fun copyCandidates(
        service: RelayService,
        excluded: Set<Replica>,
    ): List<Replica> = directory.usable(service.name).filter { it !in excluded && !it.isPaused }

    /** Returns the delay before callers should retry if all replicas of [service] requested a pause, or null if not. */
    fun retryAfterMillis(service: RelayService): Long? = placement.retryAfterMillis(directory.usable(service.name))

    /** Whether a request may be sent to [replica] now. */
    fun mayReceive(replica: Replica): Boolean = directory.mayReceive(replica) && !replica.isPaused

    /** Counts a request that is about to be sent to [replica], if the replica names a request limit. */
    fun countLimitedSend(
        replica: Replica,
        purpose: SendPurpose,
    ) {
        if (replica.requestLimit.perSecond != null) metrics.count("limited.replica.requests", purpose.label)
    }

    private fun tryAdmit(
        replica: Replica,
        service: RelayService,
    ): Boolean {
        if (!replica.isCold || service.coldRequestsPerSecond <= 0) return true
        val share = ColdShare.of(service.coldRequestsPerSecond, bounds, instanceCount())
        return replica.coldRate.tryTake(share.perSecond, share.burst)
    }

    private companion object {
        /** Number of instances to assume at least, since more may exist than are known at startup. */
        const val MINIMUM_ASSUMED_INSTANCES = 8
    }
}
