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
 * The system's own policy: entry instances choose by the granting instances' views and send only what was granted. What
 * finds no room waits at its entry instance, in order of arrival.
 *
 * @param onDispatch called with each dispatch
 * @param onRefuse called before each refusal with the number of replicas that had room for the request
 */
internal class GrantedPolicy(
    private val onDispatch: (SimulatedRequest, SimulatedReplica) -> Unit,
    private val onRefuse: (SimulatedRequest, Int) -> Unit,
) : DispatchPolicy {
    override val name = ExperimentReport.OWN_POLICY

    private val lengths = LengthEstimator()
    private val keys = HashMap<RequestId, LengthKey>()
    private val ejectors = HashMap<Int, Ejector>()
    private val waiting = HashMap<Int, ArrayDeque<Waiting>>()
    private val asking = HashSet<Int>()

    /** Replicas that could not be reached or were lost, by the request that found out. */
    private val lost = HashMap<SimulatedRequest, MutableSet<InstanceId>>()
    private val dispatched = LinkedHashMap<SimulatedRequest, Double>()
    private lateinit var service: SimulatedService
    private lateinit var grants: Map<InstanceId, ReplicaGrants>
    private lateinit var chooser: ReplicaChooser

    private class Waiting(
        val request: SimulatedRequest,
        val sinceMillis: Double,
        val excluded: MutableSet<InstanceId> = HashSet(),
        var hasAskedAll: Boolean = false,
    ) {
        /** Replicas that had no room when they were asked last, half a round trip before a refusal. */
        val full: MutableSet<InstanceId> = HashSet()
    }

    override fun start(service: SimulatedService) {
        this.service = service
        chooser = ReplicaChooser(service.random)
        val correction = LengthCorrection { predict(it.request, it.producedTokens.toInt()) }
        grants = service.replicas.map { ReplicaGrants(service, it, correction) }.associateBy { it.id }
        grants.values.forEach { it.start() }
        service.loop.repeat(RETRY_MILLIS) { for (entry in 0 until service.topology.entries) drain(entry) }
        service.loop.repeat(OBSERVE_MILLIS) { observeFirstTokens() }
    }

    override fun place(request: SimulatedRequest) {
        val arrival = request.arrival
        keys[arrival.request.generation] = LengthKey(SERVICE, arrival.workspace, arrival.kind)
        val queue = waiting.getOrPut(arrival.entry) { ArrayDeque() }
        val newcomer = Waiting(request, arrival.atMillis)
        newcomer.excluded += lost[request].orEmpty()
        queue.addLast(newcomer)
        if (queue.size == 1) drain(arrival.entry)
    }

    override fun ended(request: SimulatedRequest) {
        if (request.state == SimulatedRequest.State.DONE) {
            keys[request.arrival.request.generation]?.let { lengths.record(it, request.produced) }
            ejector(request).recordSuccess(grantsOf(request).id)
        }
        if (request.state == SimulatedRequest.State.FAILED) lostBy(request)
        lost.remove(request)
        release(request)
    }

    override fun returned(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        lostBy(request)
        lost.getOrPut(request) { HashSet() } += grantsOf(request).id
        release(request)
    }

    private fun lostBy(request: SimulatedRequest) {
        ejector(request).recordFailure(grantsOf(request).id, service.loop.nowMillis)
    }

    private fun ejector(request: SimulatedRequest) = ejectors.getOrPut(request.arrival.entry) { Ejector() }

    private fun grantsOf(request: SimulatedRequest) = grants.getValue(InstanceId("replica-${request.replica!!.index}"))

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
        dispatched.keys
            .filter { it.produced > 0 }
            .forEach { observe(it, grantsOf(it)) }
    }

    private fun observe(
        request: SimulatedRequest,
        replica: ReplicaGrants,
    ) {
        val since = dispatched.remove(request) ?: return
        if (request.produced == 0) return
        replica.ledger.recordFirstToken((request.firstTokenAt - since).toLong(), service.loop.nowMillis)
    }

    private fun drain(entry: Int) {
        if (entry in asking) return
        val queue = waiting[entry] ?: return
        while (queue.isNotEmpty()) {
            val head = queue.first()
            if (head.request.state == SimulatedRequest.State.PENDING) {
                when {
                    !isExpired(head) -> return ask(entry, head)
                    !head.hasAskedAll -> return askEverywhere(entry, head)
                    else -> giveUp(head)
                }
            }
            queue.remove(head)
        }
    }

    private fun giveUp(head: Waiting) {
        val reservation = reservation(head.request)
        val room = grants.values.count { it.id !in head.full && isOpen(it) && hasRoom(it, reservation) }
        onRefuse(head.request, room)
        service.refuse(head.request, Failure(ResultCode.QUEUE_TIMEOUT, retryAfterMillis = RETRY_AFTER_MILLIS))
    }

    private fun isOpen(replica: ReplicaGrants) = replica.replica in service.eligibleReplicas()

    private fun hasRoom(
        replica: ReplicaGrants,
        reservation: Reservation,
    ): Boolean {
        val state = replica.ledger.state(service.loop.nowMillis)
        return state.freeRequests > 0 && state.freeTokens >= reservation.capacity.tokens
    }

    private fun ask(
        entry: Int,
        head: Waiting,
    ) {
        val now = service.loop.nowMillis
        val reservation = reservation(head.request)
        val need =
            ReplicaRequirements(
                ZoneName(service.topology.zoneOf(entry)),
                reservation.capacity.tokens,
                reservation.promptTokens,
                head.excluded,
            )
        val views = grants.values.mapNotNull { view(it, entry) }
        val chosen = chooser.choose(views, need)?.let { grants.getValue(it.replica) }
        val ticket = chosen?.clients?.get(entry)?.issueTicket(reservation.request, now)
        if (chosen == null || ticket == null) {
            head.excluded.clear()
            return
        }
        waiting.getValue(entry).remove(head)
        asking += entry
        service.loop.schedule(chosen.delayMillis(entry)) {
            val result = chosen.ledger.reserve(ReplicaGrants.entryId(entry), reservation, service.loop.nowMillis)
            service.loop.schedule(chosen.delayMillis(entry)) {
                asking -= entry
                val mayUse = settle(chosen, entry, reservation, ticket, result)
                if (mayUse) dispatch(head.request, chosen) else back(entry, head, chosen)
            }
        }
    }

    private fun back(
        entry: Int,
        head: Waiting,
        refused: ReplicaGrants,
    ) {
        waiting.getValue(entry).addFirst(head)
        head.excluded += refused.id
        if (head.excluded.size <= MAXIMUM_ASKED || isExpired(head)) drain(entry) else head.excluded.clear()
    }

    /**
     * Asks every replica at once before a request is refused for its wait. Asked one after the other, a replica that
     * was asked early may have room by the time the last one answers; and views may lack one that has just returned.
     */
    private fun askEverywhere(
        entry: Int,
        head: Waiting,
    ) {
        head.hasAskedAll = true
        val reservation = reservation(head.request)
        val now = service.loop.nowMillis
        val tickets =
            grants.values.filter(::isOpen).mapNotNull { replica ->
                replica.clients[entry].issueTicket(reservation.request, now)?.let { replica to it }
            }
        if (tickets.isEmpty()) return drain(entry)
        waiting.getValue(entry).remove(head)
        asking += entry
        var unanswered = tickets.size
        var isDispatched = false
        for ((replica, ticket) in tickets) {
            service.loop.schedule(replica.delayMillis(entry)) {
                val result = replica.ledger.reserve(ReplicaGrants.entryId(entry), reservation, service.loop.nowMillis)
                if (!hasRoom(replica, reservation)) head.full += replica.id
                service.loop.schedule(replica.delayMillis(entry)) {
                    val mayUse = settle(replica, entry, reservation, ticket, result)
                    if (mayUse && isDispatched) giveBack(replica, entry, reservation)
                    if (mayUse && !isDispatched) {
                        isDispatched = true
                        dispatch(head.request, replica)
                    }
                    if (--unanswered == 0) {
                        asking -= entry
                        if (!isDispatched) waiting.getValue(entry).addFirst(head)
                        drain(entry)
                    }
                }
            }
        }
    }

    /** Records the answer of [replica]'s ledger. Returns whether the room may be used. */
    private fun settle(
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

    private fun giveBack(
        replica: ReplicaGrants,
        entry: Int,
        reservation: Reservation,
    ) {
        replica.clients[entry].onFinished(reservation.request)
        service.loop.schedule(replica.delayMillis(entry)) {
            replica.ledger.release(ReplicaGrants.entryId(entry), reservation.request)
        }
    }

    private fun isExpired(head: Waiting): Boolean = service.loop.now - head.sinceMillis >= MAXIMUM_WAIT_MILLIS

    private fun dispatch(
        request: SimulatedRequest,
        chosen: ReplicaGrants,
    ) {
        if (request.state != SimulatedRequest.State.PENDING) {
            val entry = request.arrival.entry
            chosen.clients[entry].onFinished(request.arrival.request.generation)
            return chosen.ledger.release(ReplicaGrants.entryId(entry), request.arrival.request.generation)
        }
        dispatched[request] = service.loop.now
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
            eligible = isOpen(replica) && state.reachable && !isEjected,
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
        return lengths.quantile(key, produced, QUANTILE).toLong()
    }

    private companion object {
        val SERVICE = ServiceName("wheel-writers")
        const val QUANTILE = 0.6
        const val RETRY_MILLIS = 50.0
        const val OBSERVE_MILLIS = 200.0
        const val MAXIMUM_WAIT_MILLIS = 30_000.0
        const val RETRY_AFTER_MILLIS = 2_000L
        const val MAXIMUM_ASKED = 3
    }
}
