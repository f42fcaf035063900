package io.sequoiawheel.daemon.placement

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.admission.LengthEstimator
import io.sequoiawheel.core.admission.LengthKey
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.routing.ReplicaChooser
import io.sequoiawheel.core.serving.Demand
import io.sequoiawheel.core.serving.PlacedRequest
import io.sequoiawheel.core.serving.Placement
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/** Placement through fair queues, predicted lengths and reserved room. Thread-safe. */
internal class QueuedPlacement(
    private val zone: ZoneName,
    private val rooms: RoomSource,
    private val lengths: LengthEstimator,
    private val chooser: ReplicaChooser,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : Placement {
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()

    /** Requests that wait, over all services. */
    val waiting: Int get() = queues.values.sumOf { it.waiting }

    override suspend fun place(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): Either<Failure, PlacedRequest> {
        val need = needOf(demand, avoided)
        tooLarge(need)?.let { return it.left() }
        val queue = queueOf(demand.document)
        val waiter = Waiter(need)
        val arrived = clock.nowMillis()
        queue.offer(waiter)?.let { return it.left() }
        val room =
            try {
                waiter.await()
            } catch (error: CancellationException) {
                queue.remove(waiter)
                withContext(NonCancellable) { waiter.withdraw() }
                throw error
            }
        val granted = room.getOrElse { return it.left() }
        return PlacedRoom(granted, need, queue, clock.nowMillis() - arrived).right()
    }

    /** Notifies the queues that room may have become free somewhere. */
    fun signal() = queues.values.forEach { it.signal() }

    private fun needOf(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): RoomNeed {
        val weight =
            demand.document.workspaces
                .of(demand.workspace)
                ?.weight ?: 1
        val predicted =
            if (demand.maximumTokens == 0) {
                0
            } else {
                lengths.quantile(keyOf(demand), 0, PREDICTION_QUANTILE).coerceAtMost(demand.maximumTokens)
            }
        return RoomNeed(demand, avoided.toSet(), predicted, weight)
    }

    private fun tooLarge(need: RoomNeed): Failure? {
        val capacities = rooms.candidates(need).map { it.view.capacityTokens }
        val isUnknown = capacities.isEmpty() || capacities.any { it == 0L }
        val limit = need.demand.promptTokens.toLong() + need.demand.maximumTokens
        return if (isUnknown || limit <= capacities.max()) null else Failure(ResultCode.GENERATION_TOO_LARGE)
    }

    // A queue whose policy was replaced serves its last requests and then ends.
    private fun queueOf(document: ServiceDocument): ServiceQueue =
        queues.compute(document.service) { _, old ->
            old?.takeIf { it.policy == document.queue } ?: start(document.queue).also { old?.retire() }
        }!!

    private fun start(policy: ServiceDocument.QueuePolicy): ServiceQueue {
        val queue = ServiceQueue(policy, zone, rooms, chooser, clock)
        scope.launch { queue.run() }
        return queue
    }

    private fun keyOf(demand: Demand) = LengthKey(demand.document.service, demand.workspace, demand.requestKind)

    private inner class PlacedRoom(
        private val room: RoomSource.Room,
        private val need: RoomNeed,
        private val queue: ServiceQueue,
        override val queueMillis: Long,
    ) : PlacedRequest {
        private val finished = AtomicBoolean()
        override val replica = room.replica

        override fun onFirstToken(elapsedMillis: Long) = room.onFirstToken(elapsedMillis)

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) {
            if (!finished.compareAndSet(false, true)) return
            room.finish(verdict, tokens)
            val isGeneration = need.demand.maximumTokens > 0
            if (isGeneration && verdict == PlacedRequest.Verdict.COMPLETED) lengths.record(keyOf(need.demand), tokens)
            if (isGeneration) queue.correct(need, need.demand.promptTokens.toLong() + tokens)
            signal()
        }
    }

    private companion object {
        // Reserving the median makes every second generation outgrow its room; the extreme tail wastes memory.
        const val PREDICTION_QUANTILE = 0.8
    }
}
