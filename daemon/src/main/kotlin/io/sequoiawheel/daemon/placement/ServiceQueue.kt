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
 * The queue of one service and the loop that gives its requests room in fair order. A request at the head that finds
 * no room is restored and keeps its place, so that small requests cannot starve a large one.
 */
internal class ServiceQueue(
    val policy: ServiceDocument.QueuePolicy,
    private val zone: ZoneName,
    private val rooms: RoomSource,
    private val chooser: ReplicaChooser,
    private val clock: Clock,
) {
    private val queue = FairQueue<Waiter>(QueueLimits.of(policy))
    private val changes = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var retired = false

    /** Requests that wait. */
    val waiting: Int get() = queue.queued

    /** Queues [waiter] or refuses it at once. */
    fun offer(waiter: Waiter): Failure? {
        val request =
            QueuedRequest(
                item = waiter,
                workspace = waiter.need.demand.workspace,
                weight = waiter.need.weight,
                costTokens = waiter.need.tokens.coerceAtLeast(1),
                deadlineMillis = waiter.need.demand.deadlineMillis,
            )
        waiter.queued = request
        return when (val offer = queue.offer(request, clock.nowMillis())) {
            is OfferResult.Rejected -> offer.failure
            is OfferResult.Queued -> {
                offer.displaced?.item?.refuse(offer.failure ?: Failure(ResultCode.QUEUE_FULL))
                signal()
                null
            }
        }
    }

    /** Takes [waiter] out after its caller left. */
    fun remove(waiter: Waiter) {
        waiter.queued?.let(queue::remove)
    }

    /** Notifies the loop that room may have become free. */
    fun signal() {
        changes.trySend(Unit)
    }

    /** Charges the workspace of [need] what its request really used. */
    fun correct(
        need: RoomNeed,
        actualTokens: Long,
    ) = queue.correct(need.demand.workspace, need.weight, need.tokens.coerceAtLeast(1), actualTokens)

    /** Ends the loop once the queue is empty; called when another queue has taken its place. */
    fun retire() {
        retired = true
        signal()
    }

    /** Serves the queue until it is retired and empty, or cancelled. */
    suspend fun run() {
        while (!retired || queue.queued > 0) {
            val idle = queue.queued == 0
            if (idle) changes.receive() else withTimeoutOrNull(RECHECK_MILLIS) { changes.receive() }
            expire()
            serve()
        }
    }

    private suspend fun serve() {
        while (true) {
            val request = queue.poll(clock.nowMillis()) ?: return
            if (!place(request.item)) return queue.restore(request, clock.nowMillis())
        }
    }

    /** Returns false if the request has to wait on. */
    private suspend fun place(waiter: Waiter): Boolean {
        val need = waiter.need
        val candidates = rooms.candidates(need)
        if (candidates.none { it.view.eligible }) {
            waiter.refuse(noReplica())
            return true
        }
        val refused = HashSet(avoidable(need, candidates))
        repeat(MAXIMUM_ASKED) {
            val request = ReplicaRequirements(zone, need.tokens, need.demand.promptTokens.toLong(), refused)
            val chosen = chooser.choose(candidates.map { it.view }, request) { rooms.cachedTokens(it, need) }
            val candidate = candidates.firstOrNull { it.instance.id == chosen?.replica } ?: return false
            val room = rooms.reserve(candidate.instance, need)
            if (room != null) {
                waiter.grant(room)
                return true
            }
            refused += candidate.instance.id
        }
        return false
    }

    /** What the request already tried is left out, unless nothing else could serve it. */
    private fun avoidable(
        need: RoomNeed,
        candidates: List<RoomSource.Candidate>,
    ) = if (candidates.any { it.view.eligible && it.instance.id !in need.avoided }) need.avoided else emptySet()

    private fun expire() {
        val now = clock.nowMillis()
        queue.expire(now).forEach { request ->
            val isDeadline = request.item.need.demand.deadlineMillis <= now
            val code = if (isDeadline) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.QUEUE_TIMEOUT
            request.item.refuse(Failure(code, retryAfterMillis = retryAfter(request, now)))
        }
    }

    private fun retryAfter(
        request: QueuedRequest<Waiter>,
        now: Long,
    ): Long =
        queue.predictedWaitMillis(request.workspace, request.weight, request.costTokens, now)
            ?: policy.maximumWaitMillis

    private fun noReplica() = Failure(ResultCode.NO_REPLICA, retryAfterMillis = NO_REPLICA_RETRY_MILLIS)

    private companion object {
        // Room becomes free at other entry instances, too, of which no signal comes here.
        const val RECHECK_MILLIS = 25L

        // After a few refusals the views are out of date; fresh ones arrive with the refusals themselves.
        const val MAXIMUM_ASKED = 4

        // Replicas appear in the instance list with a lag of about a second.
        const val NO_REPLICA_RETRY_MILLIS = 2_000L
    }
}
