/*
 * A discrete-event simulation of one service: callers, entry instances, replicas. The decisions are those of a
 * DispatchPolicy; the engines are the models of the stand-ins.
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
 * One run. Actions such as [kill] may be scheduled on [loop] before [run].
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

    /** Random numbers for decisions; arrivals and lengths have their own. */
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** All replicas, including those that are down. */
    val replicas =
        List(topology.replicas) { index ->
            val settings = topology.engine.copy(name = "replica-$index")
            val engine = EngineModel(settings, lengths, seed + index, startsCold)
            SimulatedReplica(index, topology.zoneOf(index), engine, loop, ::handle)
        }

    /** The figures of the run. */
    val measures = Measures()

    /** Zones that operators have taken out, as the entry instances know them. */
    val zonesOut: Set<String> get() = outOfService

    private val outOfService = HashSet<String>()
    private val inProgress = HashMap<RequestId, SimulatedRequest>()

    /** Replicas that the instance list shows as live, in zones that are in service. */
    fun eligibleReplicas(): List<SimulatedReplica> =
        replicas.filter { it.listedState == Instance.State.LIVE && it.zone !in outOfService }

    /** Runs [arrivals] for [durationMillis] and then until [drainMillis] later. */
    fun run(
        arrivals: List<Arrival>,
        durationMillis: Double,
        drainMillis: Double = DRAIN_MILLIS,
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

    /** Sends a pending request to a replica. */
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

    /** Gives a pending request its final answer. */
    fun refuse(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        if (request.state == SimulatedRequest.State.PENDING) end(request, SimulatedRequest.State.REFUSED, failure)
    }

    /** Makes a replica fail now; it comes back cold after its restart time. */
    fun kill(replica: SimulatedReplica) = replica.crash()

    /** Makes a replica leave: the instance list shows it after its lag. */
    fun leave(replica: SimulatedReplica) = changeState(replica, Instance.State.LEAVING)

    /** Makes a left replica live again; the instance list shows it after its lag. */
    fun join(replica: SimulatedReplica) = changeState(replica, Instance.State.LIVE)

    /** Takes a zone out of service, or back in, as the entry instances learn it. */
    fun setZoneOut(
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
        loop.schedule(FIRST_TOKEN_DEADLINE_MILLIS) { giveUp(request) }
        policy.place(request)
    }

    private fun giveUp(request: SimulatedRequest) {
        if (request.isOver || request.produced > 0) return
        val wasDispatched = request.state == SimulatedRequest.State.DISPATCHED
        if (wasDispatched) request.replica?.engine?.cancel(request.arrival.request.generation)
        end(request, SimulatedRequest.State.TIMED_OUT, Failure(ResultCode.DEADLINE_AFTER_DISPATCH))
        if (wasDispatched) policy.ended(request)
    }

    private fun submit(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) {
        if (request.isOver) return
        val submission = replica.submit(request.arrival.request)
        if (submission == Submission.ACCEPTED) return
        giveBack(request, Failure(ResultCode.CONNECT_FAILED, submission.name))
    }

    private fun giveBack(
        request: SimulatedRequest,
        failure: Failure,
    ) {
        loop.schedule(topology.oneWayMillis) {
            if (request.isOver) return@schedule
            policy.returned(request, failure)
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
                is ModelEvent.Lost -> lose(request)
                is ModelEvent.Preempted -> Unit
            }
        }
    }

    /** The way back to the entry instance takes the same time for each token and is left out of the gaps. */
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

    private fun lose(request: SimulatedRequest) {
        val failure = Failure(ResultCode.STREAM_INTERRUPTED)
        if (request.produced ==
            0
        ) {
            giveBack(request, failure)
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
        policy.ended(request)
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

        /** Longest output, waits and recomputation included, after the last arrival. */
        private const val DRAIN_MILLIS = 400_000.0
    }
}
