package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.admission.FairQueue
import io.sequoiawheel.core.admission.OfferResult
import io.sequoiawheel.core.admission.QueueLimits
import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.routing.ReplicaChooser
import io.sequoiawheel.core.routing.ReplicaRequirements
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * The queue of one service and the loop that reserves capacity for its requests in fair order. If no capacity is
 * available for the request at the head, it is restored there, so that small requests cannot starve a large one.
 */
internal class ServiceQueue(
    val policy: ServiceDocument.QueuePolicy,
    private val zone: ZoneName,
    private val capacitySource: CapacitySource,
    private val chooser: ReplicaChooser,
    private val clock: Clock,
) {
    private val queue = FairQueue<Waiter>(QueueLimits.of(policy))
    private val wakeups = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var isRetired = false

    /** The number of waiting requests. */
    val waitingCount: Int get() = queue.queued

    /** Queues [waiter]; returns the failure if it is rejected immediately. */
    fun offer(waiter: Waiter): Failure? {
        val request =
            QueuedRequest(
                item = waiter,
                workspace = waiter.required.demand.workspace,
                weight = waiter.required.weight,
                costTokens = waiter.required.tokens.coerceAtLeast(1),
                deadlineMillis = waiter.required.demand.deadlineMillis,
            )
        waiter.queueEntry = request
        return when (val result = queue.offer(request, clock.nowMillis())) {
            is OfferResult.Rejected -> result.failure
            is OfferResult.Queued -> {
                result.displaced?.item?.reject(result.failure ?: Failure(ResultCode.QUEUE_FULL))
                signal()
                null
            }
        }
    }

    /** Removes [waiter] after its wait was cancelled. */
    fun remove(waiter: Waiter) {
        waiter.queueEntry?.let(queue::remove)
    }

    /** Notifies the loop that capacity may have become available. */
    fun signal() {
        wakeups.trySend(Unit)
    }

    /** Replaces the estimated charge of [required] to its workspace by the tokens that the request used. */
    fun correctCharge(
        required: CapacityRequirements,
        actualTokens: Long,
    ) = queue.correct(required.demand.workspace, required.weight, required.tokens.coerceAtLeast(1), actualTokens)

    /** Ends the loop once the queue is empty; called when another queue has replaced this one. */
    fun retire() {
        isRetired = true
        signal()
    }

    /** Runs the loop until the queue is retired and empty, or until cancelled. */
    suspend fun run() {
        while (!isRetired || queue.queued > 0) {
            val isIdle = queue.queued == 0
            if (isIdle) wakeups.receive() else withTimeoutOrNull(RECHECK_MILLIS) { wakeups.receive() }
            rejectExpired()
            dispatchWaiting()
        }
    }

    private suspend fun dispatchWaiting() {
        while (true) {
            val request = queue.poll(clock.nowMillis()) ?: return
            if (!tryPlace(request.item)) return queue.restore(request, clock.nowMillis())
        }
    }

    /** Reserves capacity for [waiter] or rejects it; returns false if it has to keep waiting. */
    private suspend fun tryPlace(waiter: Waiter): Boolean {
        val required = waiter.required
        val candidates = capacitySource.candidates(required)
        if (candidates.none { it.view.eligible }) {
            waiter.reject(noReplicaFailure())
            return true
        }
        val excluded = HashSet(replicasToAvoid(required, candidates))
        repeat(MAXIMUM_RESERVE_ATTEMPTS) {
            val replicaRequirements =
                ReplicaRequirements(zone, required.tokens, required.demand.promptTokens.toLong(), excluded)
            val chosen =
                chooser.choose(candidates.map { it.view }, replicaRequirements) {
                    capacitySource.cachedTokens(it, required)
                }
            val candidate = candidates.firstOrNull { it.instance.id == chosen?.replica } ?: return false
            val capacity = capacitySource.reserve(candidate.instance, required)
            if (capacity != null) {
                waiter.grant(capacity)
                return true
            }
            excluded += candidate.instance.id
        }
        return false
    }

    /** Returns the replicas that the request already tried, or none if no other eligible replica is left. */
    private fun replicasToAvoid(
        required: CapacityRequirements,
        candidates: List<CapacitySource.Candidate>,
    ) = if (candidates.any { it.view.eligible && it.instance.id !in required.avoided }) required.avoided else emptySet()

    private fun rejectExpired() {
        val now = clock.nowMillis()
        queue.expire(now).forEach { request ->
            val isPastDeadline = request.item.required.demand.deadlineMillis <= now
            val code = if (isPastDeadline) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.QUEUE_TIMEOUT
            request.item.reject(Failure(code, retryAfterMillis = retryAfterMillisOf(request, now)))
        }
    }

    private fun retryAfterMillisOf(
        request: QueuedRequest<Waiter>,
        now: Long,
    ): Long =
        queue.predictedWaitMillis(request.workspace, request.weight, request.costTokens, now)
            ?: policy.maximumWaitMillis

    private fun noReplicaFailure() = Failure(ResultCode.NO_REPLICA, retryAfterMillis = NO_REPLICA_RETRY_MILLIS)

    private companion object {
        // Other entry instances release capacity, too, which does not signal this queue.
        const val RECHECK_MILLIS = 25L

        // Several refusals in a row mean that the replica views are stale; the refusals themselves bring newer ones.
        const val MAXIMUM_RESERVE_ATTEMPTS = 4

        // A new replica appears in the instance list after about a second.
        const val NO_REPLICA_RETRY_MILLIS = 2_000L
    }
}
