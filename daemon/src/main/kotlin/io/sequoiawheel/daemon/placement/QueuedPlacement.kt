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

/**
 * Places requests through one fair queue for each service. The capacity reserved for a generation is based on its
 * predicted output length. Thread-safe.
 */
internal class QueuedPlacement(
    private val zone: ZoneName,
    private val capacitySource: CapacitySource,
    private val lengths: LengthEstimator,
    private val chooser: ReplicaChooser,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : Placement {
    private val queues = ConcurrentHashMap<ServiceName, ServiceQueue>()

    /** The number of requests waiting in the queues of all services. */
    val waitingCount: Int get() = queues.values.sumOf { it.waitingCount }

    override suspend fun place(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): Either<Failure, PlacedRequest> {
        val required = requirementsOf(demand, avoided)
        checkSize(required)?.let { return it.left() }
        val queue = queueOf(demand.document)
        val waiter = Waiter(required)
        val arrivedMillis = clock.nowMillis()
        queue.offer(waiter)?.let { return it.left() }
        val result =
            try {
                waiter.await()
            } catch (error: CancellationException) {
                queue.remove(waiter)
                withContext(NonCancellable) { waiter.cancel() }
                throw error
            }
        val capacity = result.getOrElse { return it.left() }
        return ReservedRequest(capacity, required, queue, clock.nowMillis() - arrivedMillis).right()
    }

    /** Notifies the queues that capacity may have become available. */
    fun signal() = queues.values.forEach { it.signal() }

    private fun requirementsOf(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): CapacityRequirements {
        val weight =
            demand.document.workspaces
                .of(demand.workspace)
                ?.weight ?: 1
        val predictedTokens =
            if (demand.maximumTokens == 0) {
                0
            } else {
                lengths.quantile(keyOf(demand), 0, PREDICTION_QUANTILE).coerceAtMost(demand.maximumTokens)
            }
        return CapacityRequirements(demand, avoided.toSet(), predictedTokens, weight)
    }

    private fun checkSize(required: CapacityRequirements): Failure? {
        val capacities = capacitySource.candidates(required).map { it.view.capacityTokens }
        val isAnyUnknown = capacities.isEmpty() || capacities.any { it == 0L }
        val totalTokens = required.demand.promptTokens.toLong() + required.demand.maximumTokens
        return if (isAnyUnknown || totalTokens <= capacities.max()) null else Failure(ResultCode.GENERATION_TOO_LARGE)
    }

    // A queue whose policy has changed is replaced; it still serves the requests that wait in it, and then ends.
    private fun queueOf(document: ServiceDocument): ServiceQueue =
        queues.compute(document.service) { _, current ->
            current?.takeIf { it.policy == document.queue } ?: startQueue(document.queue).also { current?.retire() }
        }!!

    private fun startQueue(policy: ServiceDocument.QueuePolicy): ServiceQueue {
        val queue = ServiceQueue(policy, zone, capacitySource, chooser, clock)
        scope.launch { queue.run() }
        return queue
    }

    private fun keyOf(demand: Demand) = LengthKey(demand.document.service, demand.workspace, demand.requestKind)

    private inner class ReservedRequest(
        private val capacity: CapacitySource.ReservedCapacity,
        private val required: CapacityRequirements,
        private val queue: ServiceQueue,
        override val queueMillis: Long,
    ) : PlacedRequest {
        private val finished = AtomicBoolean()
        override val replica = capacity.replica

        override fun onFirstToken(elapsedMillis: Long) = capacity.onFirstToken(elapsedMillis)

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) {
            if (!finished.compareAndSet(false, true)) return
            capacity.finish(verdict, tokens)
            val isGeneration = required.demand.maximumTokens > 0
            if (isGeneration &&
                verdict == PlacedRequest.Verdict.COMPLETED
            ) {
                lengths.record(keyOf(required.demand), tokens)
            }
            if (isGeneration) queue.correctCharge(required, required.demand.promptTokens.toLong() + tokens)
            signal()
        }
    }

    private companion object {
        // With the median, every second generation exceeds its reservation; a much higher quantile wastes memory.
        const val PREDICTION_QUANTILE = 0.8
    }
}
