package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.core.relay.ColdShare
import io.sequoiawheel.core.relay.DeploymentFeature
import io.sequoiawheel.core.relay.FleetMembership
import io.sequoiawheel.core.relay.InFlightBound
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.core.relay.OverflowLimiter
import io.sequoiawheel.core.relay.PeerWork
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaPlacement
import io.sequoiawheel.core.relay.ReplicaSelection
import io.sequoiawheel.core.relay.RequestLimiter
import io.sequoiawheel.core.relay.Route
import io.sequoiawheel.core.relay.SlidingWindowRetryBudget
import io.sequoiawheel.core.relay.StopPermit
import io.sequoiawheel.core.rollout.RolloutGate
import io.sequoiawheel.core.rollout.RolloutObservation
import io.sequoiawheel.relay.backend.BackendPool
import io.sequoiawheel.relay.filter.Exchange
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
    val random: UniformRandomProvider,
    private val settings: InstanceSettings,
    private val fleet: FleetMembership,
    private val quarantine: PartQuarantine,
    val outcomes: RunOutcomes,
    val rollouts: RolloutGate? = null,
) {
    val pace: PaceObserver get() = outcomes.pace

    /** Called with the replica and the load of each generation that is sent to it. */
    var onGenerationStart: (Replica, PeerWork) -> Unit = { _, _ -> }

    private val bounds = settings.bounds
    private val retryBudgets = HashMap<ServiceName, SlidingWindowRetryBudget>()

    private val limiter = RequestLimiter(fleet)

    /** Limits the calls to replicas that take those of a restricted one. */
    val overflow = OverflowLimiter(fleet)

    /** Selects the replica for each request. */
    val placement = ReplicaPlacement(selection, random, limiter, overflow, InFlightBound(fleet), ::tryAdmitCold)

    /** Whether callers of [service] compete for its capacity, so that generations are ordered before they are sent. */
    fun sharesCapacity(service: RelayService): Boolean =
        service.engine != null &&
            (
                DeploymentFeature.SCARCE_CAPACITY in settings.features ||
                    directory.usable(service.name).any { it.pace.isKnown }
            )

    /** Time since the newest load message of another instance arrived, or null if none is in force. */
    val loadAgeMillis: Long? get() = fleet.loadAgeMillis

    /** Returns the limit on the retries that this instance may send to [service]. */
    fun retryBudget(service: ServiceName): SlidingWindowRetryBudget =
        retryBudgets.getOrPut(service) {
            SlidingWindowRetryBudget(
                clock,
                bounds.retryRatio,
                { SlidingWindowRetryBudget.extraShare(service.value, bounds.retryExtra, fleet) },
                bounds.retryWindowMillis,
            )
        }

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

    /**
     * Returns the replicas of [service] that may currently receive a copy of a run on [source], except those in
     * [excluded]. A run may have to continue on its copy, so replicas that name a request limit are returned only if
     * there are no others.
     */
    fun copyCandidates(
        service: RelayService,
        source: Replica,
        excluded: Set<Replica>,
    ): List<Replica> {
        val open =
            directory.usable(service.name).filter {
                it !in excluded &&
                    waitMillis(it) == 0L &&
                    isVersionOpen(source, it) &&
                    placement.hasRoomForCopy(it, service)
            }
        return open.filter { it.requestLimit.perSecond == null }.ifEmpty { open }
    }

    /**
     * Places a request with [place] among the replicas of the version that a rollout prefers for it, or else among
     * those of the other version that it allows.
     *
     * @param isFirst whether the request is placed for the first time
     * @param source the replica that sent the events delivered so far, or null
     */
    fun place(
        service: RelayService,
        isFirst: Boolean,
        source: Replica? = null,
        place: (List<Replica>) -> Placement,
    ): Placement {
        val usable = directory.usable(service.name)
        val gate = rollouts ?: return place(usable)
        val groups = gate.preferences(service.name, usable, isFirst, source)
        var last: Placement = Placement.Unavailable
        for (group in groups) {
            last = place(group)
            if (last is Placement.Assigned) break
        }
        return last
    }

    /** Whether a run on [source] may go on at [destination] now. */
    fun mayMove(
        source: Replica,
        destination: Replica,
    ): Boolean = directory.mayReceive(destination) && isVersionOpen(source, destination)

    private fun isVersionOpen(
        source: Replica,
        destination: Replica,
    ) = rollouts?.mayMove(source, destination) ?: true

    /** Starts to observe the request of [exchange], which is sent to [replica] now, for a rollout; null without one. */
    fun observe(
        exchange: Exchange,
        replica: Replica,
    ): RolloutObservation? {
        val rollout = rollouts?.get(replica.entry.service)?.takeIf { !it.stage.isFinal } ?: return null
        val route = exchange.route ?: return null
        return rollout.evidence.begin("${route.name}/${route.kind}", replica.entry.version == rollout.order.version)
    }

    /** Returns the delay before callers should retry if no replica of [service] accepts requests now, or null. */
    fun retryAfterMillis(service: RelayService): Long? = placement.retryAfterMillis(directory.usable(service.name))

    /** Returns the time until [replica] accepts a request from this instance: the end of its pause, or its limit. */
    fun waitMillis(replica: Replica): Long = placement.waitMillis(replica)

    /**
     * Consumes the permission to send the request of [exchange] to [replica] now. Returns false if it must not be sent.
     * Call it immediately before sending, since the replica may have left or become limited in the meantime, and a part
     * of the prompt may have been quarantined.
     */
    fun tryAdmit(
        replica: Replica,
        purpose: SendPurpose,
        exchange: Exchange,
    ): Boolean =
        directory.mayReceive(replica) &&
            quarantine.blocking(exchange.sharedParts) == null &&
            (rollouts?.mayReceive(replica) ?: true) &&
            tryAdmitControl(replica, purpose) &&
            (rollouts?.tryAdmit(replica) ?: true) &&
            quarantine.tryAdmit(exchange.sharedParts)

    /**
     * Returns the quarantined part because of which the request of [exchange] must be refused, and records the refusal,
     * or returns null.
     */
    fun refusedPart(exchange: Exchange): PromptPart? {
        val part = quarantine.blocking(exchange.sharedParts) ?: return null
        quarantine.recordRefusal(exchange.sharedParts)
        exchange.logFields["quarantinedPart"] = part.id
        metrics.count("parts", "refused")
        return part
    }

    /** Like [tryAdmit], for requests of this instance itself, which leaving replicas accept too. */
    fun tryAdmitControl(
        replica: Replica,
        purpose: SendPurpose,
    ): Boolean {
        if (replica.isPaused) return false
        return limiter.tryAdmit(replica).also { recordAdmission(replica, purpose, it) }
    }

    /** Returns the permission to stop a run at [replica], of which nothing is reserved yet. */
    fun stopPermit(replica: Replica) = StopPermit(replica, limiter)

    /** Like [tryAdmitControl], for a stop with [permit], which a pause or a limit does not hold back at once. */
    fun tryAdmitStop(
        replica: Replica,
        permit: StopPermit,
    ): Boolean {
        val isAdmitted = permit.tryUse().also { recordAdmission(replica, SendPurpose.STOP, it) }
        if (replica.isPaused) metrics.count("paused.replica.stops", if (isAdmitted) "sent" else "deferred")
        return isAdmitted
    }

    private fun recordAdmission(
        replica: Replica,
        purpose: SendPurpose,
        isAdmitted: Boolean,
    ) {
        if (replica.requestLimit.perSecond == null) return
        metrics.count(if (isAdmitted) "limited.replica.requests" else "limited.replica.deferrals", purpose.label)
    }

    /** Logs that a request that [replica] refused is sent again. */
    fun logResend(
        exchange: Exchange,
        replica: Replica,
        detail: String,
        isReusedConnection: Boolean,
    ) {
        metrics.count("refusals.sent.again", if (isReusedConnection) "reused_connection" else "new_connection")
        log.request(
            "refused request is sent again",
            mapOf(
                "request" to exchange.requestId,
                "replica" to replica.toString(),
                "detail" to detail,
                "reusedConnection" to isReusedConnection,
                "sends" to exchange.sends,
            ),
        )
    }

    private fun tryAdmitCold(
        replica: Replica,
        service: RelayService,
    ): Boolean {
        if (!replica.isCold || service.coldRequestsPerSecond <= 0) return true
        val share = ColdShare.of(service.coldRequestsPerSecond, bounds, fleet.instanceCount)
        return replica.coldRate.tryTake(share.perSecond, share.burst)
    }
}
