package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.admission.FairQueue
import io.sequoiawheel.core.admission.LengthEstimator
import io.sequoiawheel.core.admission.OfferResult
import io.sequoiawheel.core.admission.QueueLimits
import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.routing.ReplicaChooser
import io.sequoiawheel.core.routing.ReplicaRequirements
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/** One entry instance of [SequoiawheelPolicy]: its queue, its learned lengths, its lagging views of the replicas. */
internal class SimulatedEntry(
    private val policy: SequoiawheelPolicy,
    val zone: ZoneName,
) {
    val queue = FairQueue<SimulatedRequest>(QueueLimits())
    val estimator = LengthEstimator()
    val views = HashMap<Int, ReplicaView>()

    private val service = policy.service
    private val chooser = ReplicaChooser(service.random, prefersLocalZone = false)
    private val costs = HashMap<SimulatedRequest, Long>()
    private var isPlacing = false

    fun offer(request: SimulatedRequest) {
        val deadline = request.arrival.atMillis + SimulatedService.FIRST_TOKEN_DEADLINE_MILLIS
        val queued = QueuedRequest(request, request.arrival.workspace, 1, cost(request), deadline.toLong())
        when (val offer = queue.offer(queued, service.loop.nowMillis)) {
            is OfferResult.Rejected -> service.refuse(request, offer.failure)
            is OfferResult.Queued -> offer.displaced?.let { service.refuse(it.item, offer.failure!!) }
        }
        placeNext()
    }

    /** Learns the length of a complete generation and corrects the charge of its workspace. */
    fun ended(request: SimulatedRequest) {
        val isComplete = request.state == SimulatedRequest.State.DONE
        if (isComplete) estimator.record(SequoiawheelPolicy.keyOf(request), request.produced)
        val charged = costs.remove(request) ?: return
        queue.correct(request.arrival.workspace, 1, charged, request.heldTokens.toLong())
    }

    private fun placeNext() {
        if (isPlacing) return
        queue.expire(service.loop.nowMillis).forEach { giveUp(it) }
        val queued = queue.poll(service.loop.nowMillis) ?: return
        isPlacing = true
        ask(queued, emptySet())
    }

    private fun giveUp(queued: QueuedRequest<SimulatedRequest>) {
        val now = service.loop.nowMillis
        val wait = queue.predictedWaitMillis(queued.workspace, queued.weight, queued.costTokens, now)
        service.refuse(queued.item, Failure(ResultCode.QUEUE_TIMEOUT, retryAfterMillis = wait))
    }

    private fun ask(
        queued: QueuedRequest<SimulatedRequest>,
        asked: Set<Int>,
    ) {
        val candidates = service.eligibleReplicas().filter { it.index !in asked }
        if (candidates.isEmpty() || asked.size >= MAXIMUM_ASKED) return postpone(queued)
        val replica = choose(candidates, queued)
        service.loop.schedule(service.topology.oneWayMillis) {
            val isReserved = policy.reserve(queued.item, replica)
            val view = policy.viewOf(replica)
            service.loop.schedule(service.topology.oneWayMillis) {
                views[replica.index] = view
                if (isReserved) take(queued, replica) else ask(queued, asked + replica.index)
            }
        }
    }

    private fun choose(
        candidates: List<SimulatedReplica>,
        queued: QueuedRequest<SimulatedRequest>,
    ): SimulatedReplica {
        val prompt =
            queued.item.arrival.request.promptTokens
                .toLong()
        val chosen =
            chooser.choose(
                candidates.map {
                    views.getValue(it.index)
                },
                ReplicaRequirements(zone, queued.costTokens, prompt),
            ) { id ->
                policy.cachedTokens(queued.item, service.replicas[id.value.toInt()])
            }
        return service.replicas[checkNotNull(chosen).replica.value.toInt()]
    }

    private fun take(
        queued: QueuedRequest<SimulatedRequest>,
        replica: SimulatedReplica,
    ) {
        isPlacing = false
        if (queued.item.isOver) {
            policy.release(queued.item, replica)
        } else {
            costs[queued.item] = queued.costTokens
            service.dispatch(queued.item, replica)
        }
        placeNext()
    }

    private fun postpone(queued: QueuedRequest<SimulatedRequest>) {
        if (!queued.item.isOver) queue.restore(queued, service.loop.nowMillis)
        service.loop.schedule(RETRY_MILLIS) {
            isPlacing = false
            placeNext()
        }
    }

    private fun cost(request: SimulatedRequest): Long {
        val model = request.arrival.request
        val length = estimator.quantile(SequoiawheelPolicy.keyOf(request), 0, COST_QUANTILE)
        return model.promptTokens.toLong() + minOf(length, model.maximumTokens)
    }

    private companion object {
        /** Time until a queue without room anywhere asks again. */
        const val RETRY_MILLIS = 50.0

        /** Replicas asked for room before the request goes back to the queue. */
        const val MAXIMUM_ASKED = 3

        /** Queue charges use the median and are corrected by the actual length. */
        const val COST_QUANTILE = 0.5
    }
}
