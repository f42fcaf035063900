/*
 * A discrete-event simulation of one service with its callers, entry instances and replicas. A DispatchPolicy makes the
 * decisions; the engines are the models of the stand-ins.
 */
package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.standin.engine.EngineModel
import io.sequoiawheel.standin.engine.ModelEvent
import io.sequoiawheel.standin.engine.OutputLengths
import io.sequoiawheel.standin.engine.Submission
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/**
 * One run of the simulation. Actions such as [kill] may be scheduled on [loop] before [run].
 *
 * @property warmUpMillis requests that arrive earlier, and gaps that end earlier, are not measured
 */
class SimulatedService(
    val topology: Topology,
    private val policy: DispatchPolicy,
    lengths: OutputLengths,
    seed: Long,
    private val warmUpMillis: Double = 60_000.0,
    startsCold: Boolean = false,
) {
    /** The virtual time of the run. */
    val loop = EventLoop()

    /** Random numbers for decisions; arrivals and lengths use separate generators. */
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** All replicas, including replicas that are down. */
    val replicas =
        List(topology.replicas) { index ->
            val settings = topology.engine.copy(name = "replica-$index")
            val engine = EngineModel(settings, lengths, seed + index, startsCold)
            SimulatedReplica(index, topology.zoneOf(index), engine, loop, ::handle)
        }

    /** The figures of the run. */
    val measures = Measures()

    /** Zones that operators have taken out of service, as known to the entry instances. */
    val zonesOutOfService: Set<String> get() = outOfService

    private val outOfService = HashSet<String>()
    private val inProgress = HashMap<RequestId, SimulatedRequest>()

    /** Returns the replicas that the instance list shows as live, in zones that are in service. */
    fun eligibleReplicas(): List<SimulatedReplica> =
        replicas.filter { it.listedState == Instance.State.LIVE && it.zone !in outOfService }

    /** Simulates [arrivals] for [durationMillis] and then lets requests drain for [drainMillis]. */
    fun run(
        arrivals: List<Arrival>,
        durationMillis: Double,
        drainMillis: Double = DEFAULT_DRAIN_MILLIS,
    ): Measures {
        measures.windowMillis = durationMillis - warmUpMillis
        measures.windowEndMillis = durationMillis
        policy.start(this)
        arrivals.forEach { arrival -> loop.schedule(arrival.atMillis) { accept(SimulatedRequest(arrival)) } }
        loop.run(durationMillis + drainMillis)
        measures.preemptions = replicas.sumOf { it.preemptions }
        measures.unfinished = inProgress.size
        return measures
    }

    /** Dispatches a pending request to a replica. */
    fun dispatch(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) {
        check(request.state == SimulatedRequest.State.PENDING) { "the request is ${request.state}" }
        request.state = SimulatedRequest.State.DISPATCHED
        request.replica = replica
        request.attempts++
        loop.schedule(topology.oneWayMillis) { submit(request, replica) }
    }

    /** Refuses a pending request with [failure]. */
    fun refuse(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        if (request.state == SimulatedRequest.State.PENDING) end(request, SimulatedRequest.State.REFUSED, failure)
    }

    /** Crashes a replica now; it comes back cold after its restart time. */
    fun kill(replica: SimulatedReplica) = replica.crash()

    /** Marks a replica as leaving; the instance list shows it after its lag. */
    fun leave(replica: SimulatedReplica) = changeState(replica, Instance.State.LEAVING)

    /** Marks a replica that left as live again; the instance list shows it after its lag. */
    fun join(replica: SimulatedReplica) = changeState(replica, Instance.State.LIVE)

    /** Takes a zone out of service or returns it; the entry instances learn of it immediately. */
    fun setZoneOutOfService(
        zone: String,
        isOut: Boolean,
    ) {
        if (isOut) outOfService += zone else outOfService -= zone
    }

    private fun changeState(
        replica: SimulatedReplica,
        state: Instance.State,
    ) {
        replica.state = state
        loop.schedule(topology.listLagMillis) { replica.listedState = state }
    }

    private fun accept(request: SimulatedRequest) {
        inProgress[request.arrival.request.generation] = request
        loop.schedule(FIRST_TOKEN_DEADLINE_MILLIS) { timeOut(request) }
        policy.place(request)
    }

    private fun timeOut(request: SimulatedRequest) {
        if (request.isFinished || request.produced > 0) return
        val wasDispatched = request.state == SimulatedRequest.State.DISPATCHED
        if (wasDispatched) request.replica?.engine?.cancel(request.arrival.request.generation)
        end(request, SimulatedRequest.State.TIMED_OUT, Failure(ResultCode.DEADLINE_AFTER_DISPATCH))
        if (wasDispatched) policy.onEnded(request)
    }

    private fun submit(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) {
        if (request.isFinished) return
        val submission = replica.submit(request.arrival.request)
        if (submission == Submission.ACCEPTED) return
        returnToEntry(request, Failure(ResultCode.CONNECT_FAILED, submission.name))
    }

    private fun returnToEntry(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        loop.schedule(topology.oneWayMillis) {
            if (request.isFinished) return@schedule
            policy.onReturned(request, failure)
            request.state = SimulatedRequest.State.PENDING
            if (request.attempts >= MAXIMUM_ATTEMPTS) {
                end(request, SimulatedRequest.State.FAILED, failure)
            } else {
                policy.place(request)
            }
        }
    }

    private fun handle(
        replica: SimulatedReplica,
        events: List<ModelEvent>,
    ) {
        for (event in events) {
            val request = inProgress[event.generation] ?: continue
            if (request.replica !== replica) continue
            when (event) {
                is ModelEvent.Token -> deliver(request, event)
                is ModelEvent.Done -> finish(request, SimulatedRequest.State.DONE, null)
                is ModelEvent.Lost -> handleLoss(request)
                is ModelEvent.Preempted -> Unit
            }
        }
    }

    /** Ignores the network delay to the entry instance: it is the same for each token and does not affect the gaps. */
    private fun deliver(
        request: SimulatedRequest,
        event: ModelEvent.Token,
    ) {
        check(event.offset == request.produced) { "token ${event.offset} came instead of ${request.produced}" }
        if (event.offset == 0) {
            request.firstTokenAt = loop.now
        } else {
            val gap = loop.now - request.lastTokenAt
            request.stallMillis += maxOf(0.0, gap - Measures.EXPECTED_GAP_MILLIS)
            if (loop.now >= warmUpMillis) measures.recordGap(gap)
        }
        request.lastTokenAt = loop.now
        request.produced++
        if (loop.now in warmUpMillis..measures.windowEndMillis) measures.recordToken(request)
    }

    private fun handleLoss(request: SimulatedRequest) {
        val failure = Failure(ResultCode.STREAM_INTERRUPTED)
        if (request.produced ==
            0
        ) {
            returnToEntry(request, failure)
        } else {
            finish(request, SimulatedRequest.State.FAILED, failure)
        }
    }

    private fun finish(
        request: SimulatedRequest,
        state: SimulatedRequest.State,
        failure: Failure?,
    ) {
        end(request, state, failure)
        policy.onEnded(request)
    }

    private fun end(
        request: SimulatedRequest,
        state: SimulatedRequest.State,
        failure: Failure?,
    ) {
        request.state = state
        request.failure = failure
        inProgress.remove(request.arrival.request.generation)
        measures.recordEnd(request, isMeasured = request.arrival.atMillis >= warmUpMillis)
    }

    companion object {
        /** Default of `deadlines.firstTokenMillis` in a service document. */
        const val FIRST_TOKEN_DEADLINE_MILLIS = 60_000.0

        /** Default of `retryBudget.maximumAttempts` in a service document. */
        const val MAXIMUM_ATTEMPTS = 3

        /** Time that the longest output takes after the last arrival, including waits and recomputation. */
        private const val DEFAULT_DRAIN_MILLIS = 400_000.0
    }
}
