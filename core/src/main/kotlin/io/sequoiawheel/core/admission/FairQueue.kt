/*
 * Start-time fair queueing over workspaces. A workspace is charged the estimated tokens of a request when the request
 * leaves the queue, and the difference to the actual tokens when it ends, so neither the size and number of requests
 * nor wrong estimates give a workspace an advantage.
 */
package io.sequoiawheel.core.admission

import io.sequoiawheel.core.admission.internal.DrainRate
import io.sequoiawheel.core.admission.internal.Flow
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkspaceName

/**
 * The queue of one service at one entry instance. Thread-safe. A request that cannot be served in time is rejected when
 * it is offered, with the delay after which to retry.
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

    /** Workspaces that the queue keeps state for. */
    val workspaces: Int @Synchronized get() = flows.size

    /** Queues [request], or rejects it if a limit or its deadline would be exceeded. */
    @Synchronized
    fun offer(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ): OfferResult<T> {
        val flow = flows.getOrPut(request.workspace) { Flow(request.workspace) }
        flow.weight = request.weight
        val failure = findRejection(request, flow, nowMillis)
        if (failure != null) {
            evictIdleFlows()
            return OfferResult.Rejected(failure)
        }
        val displaced = if (size >= limits.maximumRequests) displaceForNewcomer(flow) else null
        if (size >= limits.maximumRequests) return OfferResult.Rejected(queueFull(nowMillis))
        request.expiresAtMillis = expiryMillis(request, nowMillis)
        request.arrival = arrivals++
        append(flow, request)
        return OfferResult.Queued(displaced, displaced?.let { queueFull(nowMillis) })
    }

    /** Removes and returns the next request in fair order, or returns null if the queue is empty. */
    @Synchronized
    fun poll(nowMillis: Long): QueuedRequest<T>? {
        val flow = nextFlow() ?: return null
        val request = flow.requests.removeFirst()
        virtualTime = flow.startTag(virtualTime)
        flow.finishTag = virtualTime + request.costTokens.toDouble() / request.weight
        unlink(flow, request)
        drainRate.add(request.costTokens, nowMillis)
        evictIdleFlows()
        return request
    }

    /** Returns the request that [poll] would return, without removing it. */
    @Synchronized
    fun peek(): QueuedRequest<T>? = nextFlow()?.requests?.first()

    /**
     * Returns a polled request that no replica accepted to the head of its workspace's queue and reverts its charge.
     */
    @Synchronized
    fun restore(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ) {
        val flow = flows.getOrPut(request.workspace) { Flow(request.workspace) }
        flow.finishTag -= request.costTokens.toDouble() / request.weight
        flow.requests.addFirst(request)
        link(flow, request)
        drainRate.add(-request.costTokens, nowMillis)
    }

    /** Removes and returns the requests that have expired. */
    @Synchronized
    fun expire(nowMillis: Long): List<QueuedRequest<T>> {
        val expired = backlogged.flatMap { flow -> flow.requests.filter { it.expiresAtMillis <= nowMillis } }
        expired.forEach { removeQueued(it) }
        return expired
    }

    /** Removes a request whose caller has disconnected; returns false if it is not queued. */
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
        charged.finishTag = maxOf(charged.finishTag, virtualTime) + difference
        evictIdleFlows()
    }

    /** Returns the predicted wait of a request of [workspace] with [costTokens], or null if no rate is known yet. */
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

    /** Ties between start tags, common after idle periods, go to the earlier arrival. */
    private fun nextFlow(): Flow<T>? =
        backlogged.minWithOrNull(compareBy({ it.startTag(virtualTime) }, { it.requests.first().arrival }))

    private fun findRejection(
        request: QueuedRequest<T>,
        flow: Flow<T>,
        nowMillis: Long,
    ): Failure? {
        val wait = predictedWaitMillis(request.workspace, request.weight, request.costTokens, nowMillis)
        if (flow.requests.size >= limits.maximumRequestsPerWorkspace) {
            return Failure(ResultCode.QUEUE_FULL, retryAfterMillis = wait ?: limits.maximumWaitMillis)
        }
        val allowed = expiryMillis(request, nowMillis) - nowMillis
        if (wait == null || wait <= allowed) return null
        val isDeadline = allowed < limits.maximumWaitMillis
        val code = if (isDeadline) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.QUEUE_TIMEOUT
        return Failure(code, retryAfterMillis = wait - allowed)
    }

    private fun expiryMillis(
        request: QueuedRequest<T>,
        nowMillis: Long,
    ): Long = minOf(request.deadlineMillis ?: Long.MAX_VALUE, nowMillis + limits.maximumWaitMillis)

    /**
     * Removes the newest request of the longest queue, unless that is the newcomer's or would not stay longer than it.
     */
    private fun displaceForNewcomer(newcomer: Flow<T>): QueuedRequest<T>? {
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
        evictIdleFlows()
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

    /** Evicts idle workspaces without outstanding charge, and above the limit those with the lowest finish tags. */
    private fun evictIdleFlows() {
        if (flows.size - backlogged.size <= limits.maximumWorkspaces) return
        flows.values.removeIf { it.requests.isEmpty() && it.finishTag <= virtualTime }
        val idle = flows.values.filter { it.requests.isEmpty() }
        val excess = idle.size - limits.maximumWorkspaces
        if (excess <= 0) return
        idle.sortedBy { it.finishTag }.take(excess).forEach { flows.remove(it.workspace) }
    }
}
