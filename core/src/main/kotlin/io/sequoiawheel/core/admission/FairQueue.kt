/*
 * Start-time fair queueing over workspaces. A workspace is charged the estimated tokens of a request when the request
 * leaves the queue, and the difference to the actual tokens when it ends, so a workspace gains nothing by many small
 * or few large requests or by wrong estimates.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.admission.internal.DrainRate
import io.sequoiawheel.core.admission.internal.Flow
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkspaceName

/**
 * The queue of one service at one entry instance. Thread-safe. A request that cannot be served in time is rejected when
 * it is offered, with the time after which to try again.
 */
class FairQueue<T : Any>(
    private val limits: QueueLimits,
) {
    private val flows = HashMap<WorkspaceName, Flow<T>>()
    private val backlogged = LinkedHashSet<Flow<T>>()
    private val drainRate = DrainRate()
    private var virtualTime = 0.0
    private var size = 0
    private var arrivals = 0L

    /** Requests in the queue. */
    val queued: Int @Synchronized get() = size

    /** Workspaces that the queue remembers. */
    val workspaces: Int @Synchronized get() = flows.size

    /** Queues [request], or rejects it if the bounds or its deadline cannot be kept. */
    @Synchronized
    fun offer(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ): Offer<T> {
        val flow = flows.getOrPut(request.workspace) { Flow(request.workspace) }
        flow.weight = request.weight
        val failure = rejectionOf(request, flow, nowMillis)
        if (failure != null) {
            forgetIdle()
            return Offer.Rejected(failure)
        }
        val displaced = if (size >= limits.maximumRequests) displaceFor(flow) else null
        if (size >= limits.maximumRequests) return Offer.Rejected(queueFull(nowMillis))
        request.expiresAtMillis = bound(request, nowMillis)
        request.arrival = arrivals++
        append(flow, request)
        return Offer.Queued(displaced, displaced?.let { queueFull(nowMillis) })
    }

    /** Takes the next request in fair order, or returns null if the queue is empty. */
    @Synchronized
    fun poll(nowMillis: Long): QueuedRequest<T>? {
        val flow = nextFlow() ?: return null
        val request = flow.requests.removeFirst()
        virtualTime = flow.start(virtualTime)
        flow.finish = virtualTime + request.costTokens.toDouble() / request.weight
        unlink(flow, request)
        drainRate.add(request.costTokens, nowMillis)
        forgetIdle()
        return request
    }

    /** Returns the request that [poll] would take, without taking it. */
    @Synchronized
    fun peek(): QueuedRequest<T>? = nextFlow()?.requests?.first()

    /** Puts a polled request back to the head of its workspace because no replica took it, and undoes its charge. */
    @Synchronized
    fun restore(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ) {
        val flow = flows.getOrPut(request.workspace) { Flow(request.workspace) }
        flow.finish -= request.costTokens.toDouble() / request.weight
        flow.requests.addFirst(request)
        link(flow, request)
        drainRate.add(-request.costTokens, nowMillis)
    }

    /** Removes the requests whose time in the queue has passed. */
    @Synchronized
    fun expire(nowMillis: Long): List<QueuedRequest<T>> {
        val expired = backlogged.flatMap { flow -> flow.requests.filter { it.expiresAtMillis <= nowMillis } }
        expired.forEach { removeQueued(it) }
        return expired
    }

    /** Removes a request whose caller has left; returns false if it is not queued. */
    @Synchronized
    fun remove(request: QueuedRequest<T>): Boolean = removeQueued(request)

    /** Charges or credits the difference after a request of [workspace] has ended. */
    @Synchronized
    fun correct(
        workspace: WorkspaceName,
        weight: Int,
        estimatedTokens: Long,
        actualTokens: Long,
    ) {
        val difference = (actualTokens - estimatedTokens).toDouble() / weight
        val flow = flows[workspace]
        if (flow == null && difference <= 0) return
        val charged = flow ?: Flow<T>(workspace).also { flows[workspace] = it }
        charged.finish = maxOf(charged.finish, virtualTime) + difference
        forgetIdle()
    }

    /** Returns how long a request of [workspace] with [costTokens] would wait, or null if that is not known yet. */
    @Synchronized
    fun predictedWaitMillis(
        workspace: WorkspaceName,
        weight: Int,
        costTokens: Long,
        nowMillis: Long,
    ): Long? {
        if (size == 0) return 0
        val rate = drainRate.perMillisecond(nowMillis) ?: return null
        val own = flows[workspace]
        val ownShare = ((own?.queuedTokens ?: 0) + costTokens).toDouble() / weight
        val ahead =
            backlogged.sumOf { flow ->
                if (flow ===
                    own
                ) {
                    flow.queuedTokens.toDouble()
                } else {
                    minOf(flow.queuedTokens.toDouble(), ownShare * flow.weight)
                }
            }
        return (ahead / rate).toLong()
    }

    /** Equal start tags are common after idle times; the earlier arrival goes first then. */
    private fun nextFlow(): Flow<T>? =
        backlogged.minWithOrNull(compareBy({ it.start(virtualTime) }, { it.requests.first().arrival }))

    private fun rejectionOf(
        request: QueuedRequest<T>,
        flow: Flow<T>,
        nowMillis: Long,
    ): Failure? {
        val wait = predictedWaitMillis(request.workspace, request.weight, request.costTokens, nowMillis)
        if (flow.requests.size >= limits.maximumRequestsPerWorkspace) {
            return Failure(ResultCode.QUEUE_FULL, retryAfterMillis = wait ?: limits.maximumWaitMillis)
        }
        val allowed = bound(request, nowMillis) - nowMillis
        if (wait == null || wait <= allowed) return null
        val isDeadline = allowed < limits.maximumWaitMillis
        val code = if (isDeadline) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.QUEUE_TIMEOUT
        return Failure(code, retryAfterMillis = wait - allowed)
    }

    private fun bound(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ): Long = minOf(request.deadlineMillis ?: Long.MAX_VALUE, nowMillis + limits.maximumWaitMillis)

    /** Takes the newest request of the longest queue, unless that queue is the newcomer's own or no longer than it. */
    private fun displaceFor(newcomer: Flow<T>): QueuedRequest<T>? {
        val longest = backlogged.maxByOrNull { it.requests.size } ?: return null
        if (longest === newcomer || longest.requests.size <= newcomer.requests.size + 1) return null
        val displaced = longest.requests.removeLast()
        unlink(longest, displaced)
        return displaced
    }

    private fun queueFull(nowMillis: Long): Failure {
        val rate = drainRate.perMillisecond(nowMillis)
        val queuedTokens = backlogged.sumOf { it.queuedTokens }
        val drained = if (rate == null) limits.maximumWaitMillis else (queuedTokens / rate).toLong()
        return Failure(ResultCode.QUEUE_FULL, retryAfterMillis = drained)
    }

    private fun removeQueued(request: QueuedRequest<T>): Boolean {
        val flow = flows[request.workspace] ?: return false
        if (!flow.requests.removeIf { it === request }) return false
        unlink(flow, request)
        forgetIdle()
        return true
    }

    private fun append(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        flow.requests.addLast(request)
        link(flow, request)
    }

    private fun link(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        flow.queuedTokens += request.costTokens
        backlogged += flow
        size++
    }

    private fun unlink(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        flow.queuedTokens -= request.costTokens
        if (flow.requests.isEmpty()) backlogged -= flow
        size--
    }

    /** Forgets idle workspaces that owe nothing, and beyond the bound those that owe least. */
    private fun forgetIdle() {
        if (flows.size - backlogged.size <= limits.maximumWorkspaces) return
        flows.values.removeIf { it.requests.isEmpty() && it.finish <= virtualTime }
        val idle = flows.values.filter { it.requests.isEmpty() }
        val excess = idle.size - limits.maximumWorkspaces
        if (excess <= 0) return
        idle.sortedBy { it.finish }.take(excess).forEach { flows.remove(it.workspace) }
    }
}
