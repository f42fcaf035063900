package io.sequoiawheel.experiment.grants

import io.sequoiawheel.core.admission.LengthEstimator
import io.sequoiawheel.core.admission.LengthKey
import io.sequoiawheel.core.grant.GrantTicket
import io.sequoiawheel.core.grant.LengthCorrection
import io.sequoiawheel.core.grant.Reservation
import io.sequoiawheel.core.grant.ReserveResult
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.routing.Ejector
import io.sequoiawheel.core.routing.ReplicaChooser
import io.sequoiawheel.core.routing.ReplicaRequirements
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/**
 * The system's own policy: entry instances choose replicas by the granting instances' views and dispatch a request only
 * after a grant. Requests that no replica has capacity for wait at their entry instance in order of arrival.
 *
 * @param onDispatch called for each dispatch
 * @param onRefuse called before each refusal with the number of replicas that had capacity for the request
 */
internal class GrantBasedPolicy(
    private val onDispatch: (SimulatedRequest, SimulatedReplica) -> Unit,
    private val onRefuse: (SimulatedRequest, Int) -> Unit,
) : DispatchPolicy {
    override val name = ExperimentReport.OWN_POLICY

    private val lengthEstimator = LengthEstimator()
    private val keys = HashMap<RequestId, LengthKey>()
    private val ejectors = HashMap<Int, Ejector>()
    private val queues = HashMap<Int, ArrayDeque<PendingRequest>>()
    private val reservingEntries = HashSet<Int>()

    /** Replicas that failed or could not be reached, by the request that was returned from them. */
    private val failedReplicas = HashMap<SimulatedRequest, MutableSet<InstanceId>>()
    private val dispatchTimes = LinkedHashMap<SimulatedRequest, Double>()
    private lateinit var service: SimulatedService
    private lateinit var grantsByReplica: Map<InstanceId, ReplicaGrants>
    private lateinit var chooser: ReplicaChooser

    private class PendingRequest(
        val request: SimulatedRequest,
        val sinceMillis: Double,
        val excluded: MutableSet<InstanceId> = HashSet(),
        var hasTriedAll: Boolean = false,
    ) {
        /** Replicas without capacity at the last reservation attempt, half a round trip before a refusal. */
        val replicasWithoutCapacity: MutableSet<InstanceId> = HashSet()
    }

    override fun start(service: SimulatedService) {
        this.service = service
        chooser = ReplicaChooser(service.random)
        val correction = LengthCorrection { predict(it.request, it.producedTokens.toInt()) }
        grantsByReplica = service.replicas.map { ReplicaGrants(service, it, correction) }.associateBy { it.id }
        grantsByReplica.values.forEach { it.start() }
        service.loop.repeat(RETRY_INTERVAL_MILLIS) { for (entry in 0 until service.topology.entries) drain(entry) }
        service.loop.repeat(OBSERVE_INTERVAL_MILLIS) { observeFirstTokens() }
    }

    override fun place(request: SimulatedRequest) {
        val arrival = request.arrival
        keys[arrival.request.generation] = LengthKey(SERVICE, arrival.workspace, arrival.kind)
        val queue = queues.getOrPut(arrival.entry) { ArrayDeque() }
        val pending = PendingRequest(request, arrival.atMillis)
        pending.excluded += failedReplicas[request].orEmpty()
        queue.addLast(pending)
        if (queue.size == 1) drain(arrival.entry)
    }

    override fun onEnded(request: SimulatedRequest) {
        if (request.state == SimulatedRequest.State.DONE) {
            keys[request.arrival.request.generation]?.let { lengthEstimator.record(it, request.produced) }
            ejector(request).recordSuccess(grantsOf(request).id)
        }
        if (request.state == SimulatedRequest.State.FAILED) recordFailure(request)
        failedReplicas.remove(request)
        release(request)
    }

    override fun onReturned(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        recordFailure(request)
        failedReplicas.getOrPut(request) { HashSet() } += grantsOf(request).id
        release(request)
    }

    private fun recordFailure(request: SimulatedRequest) {
        ejector(request).recordFailure(grantsOf(request).id, service.loop.nowMillis)
    }

    private fun ejector(request: SimulatedRequest) = ejectors.getOrPut(request.arrival.entry) { Ejector() }

    private fun grantsOf(request: SimulatedRequest) =
        grantsByReplica.getValue(InstanceId("replica-${request.replica!!.index}"))

    private fun release(request: SimulatedRequest) {
        val replica = grantsOf(request)
        val entry = request.arrival.entry
        val id = request.arrival.request.generation
        observe(request, replica)
        keys.remove(id)
        replica.clients[entry].onFinished(id)
        service.loop.schedule(replica.delayMillis(entry)) {
            replica.ledger.release(ReplicaGrants.entryId(entry), id)
            drain(entry)
        }
    }

    private fun observeFirstTokens() {
        dispatchTimes.keys
            .filter { it.produced > 0 }
            .forEach { observe(it, grantsOf(it)) }
    }

    private fun observe(
        request: SimulatedRequest,
        replica: ReplicaGrants,
    ) {
        val dispatchMillis = dispatchTimes.remove(request) ?: return
        if (request.produced == 0) return
        replica.ledger.recordFirstToken((request.firstTokenAt - dispatchMillis).toLong(), service.loop.nowMillis)
    }

    private fun drain(entry: Int) {
        if (entry in reservingEntries) return
        val queue = queues[entry] ?: return
        while (queue.isNotEmpty()) {
            val head = queue.first()
            if (head.request.state == SimulatedRequest.State.PENDING) {
                when {
                    !isExpired(head) -> return tryReserve(entry, head)
                    !head.hasTriedAll -> return tryReserveEverywhere(entry, head)
                    else -> refuseExpired(head)
                }
            }
            queue.remove(head)
        }
    }

    private fun refuseExpired(head: PendingRequest) {
        val reservation = reservation(head.request)
        val replicasWithCapacity =
            grantsByReplica.values.count {
                it.id !in head.replicasWithoutCapacity &&
                    isEligible(it) &&
                    hasCapacity(it, reservation)
            }
        onRefuse(head.request, replicasWithCapacity)
        service.refuse(head.request, Failure(ResultCode.QUEUE_TIMEOUT, retryAfterMillis = RETRY_AFTER_MILLIS))
    }

    private fun isEligible(replica: ReplicaGrants) = replica.replica in service.eligibleReplicas()

    private fun hasCapacity(
        replica: ReplicaGrants,
        reservation: Reservation,
    ): Boolean {
        val state = replica.ledger.state(service.loop.nowMillis)
        return state.freeRequests > 0 && state.freeTokens >= reservation.capacity.tokens
    }

    private fun tryReserve(
        entry: Int,
        head: PendingRequest,
    ) {
        val now = service.loop.nowMillis
        val reservation = reservation(head.request)
        val requirements =
            ReplicaRequirements(
                ZoneName(service.topology.zoneOf(entry)),
                reservation.capacity.tokens,
                reservation.promptTokens,
                head.excluded,
            )
        val views = grantsByReplica.values.mapNotNull { view(it, entry) }
        val chosen = chooser.choose(views, requirements)?.let { grantsByReplica.getValue(it.replica) }
        val ticket = chosen?.clients?.get(entry)?.issueTicket(reservation.request, now)
        if (chosen == null || ticket == null) {
            head.excluded.clear()
            return
        }
        queues.getValue(entry).remove(head)
        reservingEntries += entry
        service.loop.schedule(chosen.delayMillis(entry)) {
            val result = chosen.ledger.reserve(ReplicaGrants.entryId(entry), reservation, service.loop.nowMillis)
            service.loop.schedule(chosen.delayMillis(entry)) {
                reservingEntries -= entry
                val isUsable = recordResult(chosen, entry, reservation, ticket, result)
                if (isUsable) dispatch(head.request, chosen) else requeue(entry, head, chosen)
            }
        }
    }

    private fun requeue(
        entry: Int,
        head: PendingRequest,
        refusingReplica: ReplicaGrants,
    ) {
        queues.getValue(entry).addFirst(head)
        head.excluded += refusingReplica.id
        if (head.excluded.size <= MAXIMUM_RESERVE_ATTEMPTS || isExpired(head)) drain(entry) else head.excluded.clear()
    }

    /**
     * Tries to reserve at every replica in parallel before a request is refused because it waited too long. With
     * sequential attempts, an early replica may have capacity again by the time the last one answers. The views may
     * also lack a replica that has just returned.
     */
    private fun tryReserveEverywhere(
        entry: Int,
        head: PendingRequest,
    ) {
        head.hasTriedAll = true
        val reservation = reservation(head.request)
        val now = service.loop.nowMillis
        val tickets =
            grantsByReplica.values.filter(::isEligible).mapNotNull { replica ->
                replica.clients[entry].issueTicket(reservation.request, now)?.let { replica to it }
            }
        if (tickets.isEmpty()) return drain(entry)
        queues.getValue(entry).remove(head)
        reservingEntries += entry
        var unansweredCount = tickets.size
        var isDispatched = false
        for ((replica, ticket) in tickets) {
            service.loop.schedule(replica.delayMillis(entry)) {
                val result = replica.ledger.reserve(ReplicaGrants.entryId(entry), reservation, service.loop.nowMillis)
                if (!hasCapacity(replica, reservation)) head.replicasWithoutCapacity += replica.id
                service.loop.schedule(replica.delayMillis(entry)) {
                    val isUsable = recordResult(replica, entry, reservation, ticket, result)
                    if (isUsable && isDispatched) cancelReservation(replica, entry, reservation)
                    if (isUsable && !isDispatched) {
                        isDispatched = true
                        dispatch(head.request, replica)
                    }
                    if (--unansweredCount == 0) {
                        reservingEntries -= entry
                        if (!isDispatched) queues.getValue(entry).addFirst(head)
                        drain(entry)
                    }
                }
            }
        }
    }

    /** Records the answer of [replica]'s ledger. Returns whether the reservation may be used. */
    private fun recordResult(
        replica: ReplicaGrants,
        entry: Int,
        reservation: Reservation,
        ticket: GrantTicket,
        result: ReserveResult,
    ): Boolean {
        val client = replica.clients[entry]
        if (result != ReserveResult.GRANTED) client.onRefused(reservation.request)
        return result == ReserveResult.GRANTED && client.acceptGrant(reservation, ticket, service.loop.nowMillis)
    }

    private fun cancelReservation(
        replica: ReplicaGrants,
        entry: Int,
        reservation: Reservation,
    ) {
        replica.clients[entry].onFinished(reservation.request)
        service.loop.schedule(replica.delayMillis(entry)) {
            replica.ledger.release(ReplicaGrants.entryId(entry), reservation.request)
        }
    }

    private fun isExpired(head: PendingRequest): Boolean = service.loop.now - head.sinceMillis >= MAXIMUM_WAIT_MILLIS

    private fun dispatch(
        request: SimulatedRequest,
        chosen: ReplicaGrants,
    ) {
        if (request.state != SimulatedRequest.State.PENDING) {
            val entry = request.arrival.entry
            chosen.clients[entry].onFinished(request.arrival.request.generation)
            return chosen.ledger.release(ReplicaGrants.entryId(entry), request.arrival.request.generation)
        }
        dispatchTimes[request] = service.loop.now
        onDispatch(request, chosen.replica)
        service.dispatch(request, chosen.replica)
        drain(request.arrival.entry)
    }

    private fun view(
        replica: ReplicaGrants,
        entry: Int,
    ): ReplicaView? {
        val state = replica.clients[entry].state ?: return null
        val isEjected = ejectors[entry]?.ejectedUntil(replica.id, service.loop.nowMillis) != null
        return ReplicaView(
            replica.id,
            ZoneName(replica.replica.zone),
            eligible = isEligible(replica) && state.reachable && !isEjected,
            freeTokens = state.freeTokens,
            capacityTokens =
                service.topology.engine.memoryTokens
                    .toLong(),
            freeRequests = state.freeRequests,
        )
    }

    private fun reservation(request: SimulatedRequest): Reservation {
        val generation = request.arrival.request
        return Reservation(
            generation.generation,
            request.arrival.workspace,
            generation.promptTokens.toLong(),
            predict(generation.generation, 0),
        )
    }

    private fun predict(
        request: RequestId,
        produced: Int,
    ): Long {
        val key = keys[request] ?: return produced + 1L
        return lengthEstimator.quantile(key, produced, LENGTH_QUANTILE).toLong()
    }

    private companion object {
        val SERVICE = ServiceName("wheel-writers")
        const val LENGTH_QUANTILE = 0.6
        const val RETRY_INTERVAL_MILLIS = 50.0
        const val OBSERVE_INTERVAL_MILLIS = 200.0
        const val MAXIMUM_WAIT_MILLIS = 30_000.0
        const val RETRY_AFTER_MILLIS = 2_000L
        const val MAXIMUM_RESERVE_ATTEMPTS = 3
    }
}
