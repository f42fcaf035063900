package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkspaceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FairQueueTest {
    private val queue = FairQueue<String>(QueueLimits(maximumRequests = 30, maximumRequestsPerWorkspace = 25))

    private fun request(
        workspace: String,
        cost: Long = 100,
        weight: Int = 1,
        deadline: Long? = null,
    ) = QueuedRequest("$workspace-item", WorkspaceName(workspace), weight, cost, deadline)

    private fun drain(count: Int) = List(count) { queue.poll(0)!!.workspace.value }

    /** Guards against a workspace that gets more than its share by sending earlier or more requests. */
    @Test
    fun `service is proportional to weights and tokens, not to the number of requests`() {
        repeat(12) { queue.offer(request("large", cost = 100), 0) }
        repeat(6) { queue.offer(request("heavy", cost = 100, weight = 2), 0) }
        queue.offer(request("small", cost = 100), 0)
        val served = drain(9).groupingBy { it }.eachCount()
        assertEquals(mapOf("large" to 3, "heavy" to 5, "small" to 1), served)
    }

    /** Guards against charging a workspace with long outputs only for its short estimates. */
    @Test
    fun `actual tokens beyond the estimate are charged`() {
        repeat(4) { queue.offer(request("long"), 0) }
        repeat(4) { queue.offer(request("short"), 0) }
        drain(2)
        queue.correct(WorkspaceName("long"), 1, estimatedTokens = 100, actualTokens = 400)
        assertEquals(listOf("short", "short", "short"), drain(3))
    }

    /** Guards against one workspace that fills the queue and blocks all others. */
    @Test
    fun `a full queue drops the newest request of the workspace with the most requests`() {
        repeat(25) { queue.offer(request("flood"), 0) }
        repeat(5) { queue.offer(request("other"), 0) }
        val offer = queue.offer(request("small"), 0) as OfferResult.Queued
        assertEquals("flood-item", offer.displaced!!.item)
        assertEquals(ResultCode.QUEUE_FULL, offer.failure!!.code)
        assertEquals(30, queue.queued)
    }

    /** Guards against queueing a request that cannot be served before its deadline. */
    @Test
    fun `a request that cannot be served in time is rejected immediately with a retry delay`() {
        repeat(20) { queue.offer(request("busy", cost = 1_000), 0) }
        repeat(5) { queue.poll(it * 1_000L) }
        val late = queue.offer(request("busy", deadline = 6_000), 4_000) as OfferResult.Rejected
        assertEquals(ResultCode.DEADLINE_BEFORE_DISPATCH, late.failure.code)
        assertTrue(late.failure.retryAfterMillis!! > 1_000)
        assertTrue(queue.offer(request("small", cost = 100, deadline = 6_000), 4_000) is OfferResult.Queued)
    }

    /** Guards against requests that stay queued beyond the maximum wait. */
    @Test
    fun `a request expires at the earlier of its deadline and the maximum wait of the queue`() {
        queue.offer(request("first", deadline = 500), 0)
        queue.offer(request("second"), 0)
        assertEquals(listOf("first-item"), queue.expire(500).map { it.item })
        assertEquals(listOf("second-item"), queue.expire(30_000).map { it.item })
        assertEquals(0, queue.queued)
    }

    /** Guards against a polled request that no replica accepted losing its place or being charged twice. */
    @Test
    fun `a restored request is the next one again`() {
        queue.offer(request("first"), 0)
        queue.offer(request("second"), 0)
        val polled = queue.poll(0)!!
        queue.restore(polled, 0)
        assertEquals(listOf("first", "second"), drain(2))
    }

    /** Guards against memory use that grows with the number of workspaces seen. */
    @Test
    fun `the number of workspaces kept is bounded`() {
        val bounded = FairQueue<String>(QueueLimits(maximumWorkspaces = 50))
        repeat(4_200) { index ->
            bounded.offer(request("w$index"), 0)
            bounded.poll(0)
            bounded.correct(WorkspaceName("w$index"), 1, 100, 900)
        }
        assertTrue(bounded.workspaces <= 51)
    }
}
