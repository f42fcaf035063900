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

/** The state of one entry instance of [SequoiawheelPolicy]: queue, length estimates and lagging views of replicas. */
internal class SimulatedEntry(
    private val policy: SequoiawheelPolicy,
    val zone: ZoneName,
) {
    val queue = FairQueue<SimulatedRequest>(QueueLimits())
    val estimator = LengthEstimator()
    val views = HashMap<Int, ReplicaView>()

    private val service = policy.service
    private val chooser = ReplicaChooser(service.random, prefersLocalZone = false)
    private val chargedTokens = HashMap<SimulatedRequest, Long>()
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

    /** Records the length of a completed generation and corrects the charge of its workspace. */
    fun onEnded(request: SimulatedRequest) {
        val isComplete = request.state == SimulatedRequest.State.DONE
        if (isComplete) estimator.record(SequoiawheelPolicy.keyOf(request), request.produced)
        val charged = chargedTokens.remove(request) ?: return
        queue.correct(request.arrival.workspace, 1, charged, request.heldTokens.toLong())
    }

    private fun placeNext() {
        if (isPlacing) return
        queue.expire(service.loop.nowMillis).forEach { refuseExpired(it) }
        val queued = queue.poll(service.loop.nowMillis) ?: return
        isPlacing = true
        tryReserve(queued, emptySet())
    }

    private fun refuseExpired(queued: QueuedRequest<SimulatedRequest>) {
        val now = service.loop.nowMillis
        val wait = queue.predictedWaitMillis(queued.workspace, queued.weight, queued.costTokens, now)
        service.refuse(queued.item, Failure(ResultCode.QUEUE_TIMEOUT, retryAfterMillis = wait))
    }

    private fun tryReserve(
        queued: QueuedRequest<SimulatedRequest>,
        tried: Set<Int>,
    ) {
        val candidates = service.eligibleReplicas().filter { it.index !in tried }
        if (candidates.isEmpty() || tried.size >= MAXIMUM_RESERVE_ATTEMPTS) return postpone(queued)
        val replica = choose(candidates, queued)
        service.loop.schedule(service.topology.oneWayMillis) {
            val isReserved = policy.reserve(queued.item, replica)
            val view = policy.viewOf(replica)
            service.loop.schedule(service.topology.oneWayMillis) {
                views[replica.index] = view
                if (isReserved) dispatch(queued, replica) else tryReserve(queued, tried + replica.index)
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

    private fun dispatch(
        queued: QueuedRequest<SimulatedRequest>,
        replica: SimulatedReplica,
    ) {
        isPlacing = false
        if (queued.item.isFinished) {
            policy.release(queued.item, replica)
        } else {
            chargedTokens[queued.item] = queued.costTokens
            service.dispatch(queued.item, replica)
        }
        placeNext()
    }

    private fun postpone(queued: QueuedRequest<SimulatedRequest>) {
        if (!queued.item.isFinished) queue.restore(queued, service.loop.nowMillis)
        service.loop.schedule(RETRY_DELAY_MILLIS) {
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
        /** Delay before the next attempt after no replica had capacity. */
        const val RETRY_DELAY_MILLIS = 50.0

        /** Maximum number of reservation attempts before a request returns to the queue. */
        const val MAXIMUM_RESERVE_ATTEMPTS = 3

        /** Queue charges use the median length and are corrected with the actual length. */
        const val COST_QUANTILE = 0.5
    }
}
