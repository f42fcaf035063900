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

    /** Guards against a workspace that gets more than its share by sending first or sending more. */
    @Test
    fun `service follows weights and tokens and not the number of requests`() {
        repeat(12) { queue.offer(request("large", cost = 100), 0) }
        repeat(6) { queue.offer(request("heavy", cost = 100, weight = 2), 0) }
        queue.offer(request("small", cost = 100), 0)
        val served = drain(9).groupingBy { it }.eachCount()
        assertEquals(mapOf("large" to 3, "heavy" to 5, "small" to 1), served)
    }

    /** Guards against estimates that let a workspace of long outputs pay for short ones. */
    @Test
    fun `actual tokens beyond the estimate are charged`() {
        repeat(4) { queue.offer(request("long"), 0) }
        repeat(4) { queue.offer(request("short"), 0) }
        drain(2)
        queue.correct(WorkspaceName("long"), 1, estimatedTokens = 100, actualTokens = 400)
        assertEquals(listOf("short", "short", "short"), drain(3))
    }

    /** Guards against a full queue of one workspace that locks all others out. */
    @Test
    fun `a full queue gives up the newest request of the longest workspace`() {
        repeat(25) { queue.offer(request("flood"), 0) }
        repeat(5) { queue.offer(request("other"), 0) }
        val offer = queue.offer(request("small"), 0) as Offer.Queued
        assertEquals("flood-item", offer.displaced!!.item)
        assertEquals(ResultCode.QUEUE_FULL, offer.failure!!.code)
        assertEquals(30, queue.queued)
    }

    /** Guards against a request that waits for its deadline only to be rejected then. */
    @Test
    fun `a request that cannot be served in time is rejected at once with a hint`() {
        repeat(20) { queue.offer(request("busy", cost = 1_000), 0) }
        repeat(5) { queue.poll(it * 1_000L) }
        val late = queue.offer(request("busy", deadline = 6_000), 4_000) as Offer.Rejected
        assertEquals(ResultCode.DEADLINE_BEFORE_DISPATCH, late.failure.code)
        assertTrue(late.failure.retryAfterMillis!! > 1_000)
        assertTrue(queue.offer(request("small", cost = 100, deadline = 6_000), 4_000) is Offer.Queued)
    }

    /** Guards against requests that stay queued beyond the bound. */
    @Test
    fun `a request expires at the earlier of its deadline and the bound of the queue`() {
        queue.offer(request("first", deadline = 500), 0)
        queue.offer(request("second"), 0)
        assertEquals(listOf("first-item"), queue.expire(500).map { it.item })
        assertEquals(listOf("second-item"), queue.expire(30_000).map { it.item })
        assertEquals(0, queue.queued)
    }

    /** Guards against a polled request that no replica took losing its place or being charged twice. */
    @Test
    fun `a restored request is the next one again`() {
        queue.offer(request("first"), 0)
        queue.offer(request("second"), 0)
        val polled = queue.poll(0)!!
        queue.restore(polled, 0)
        assertEquals(listOf("first", "second"), drain(2))
    }

    /** Guards against memory that grows with every workspace ever seen. */
    @Test
    fun `remembered workspaces are bounded`() {
        val bounded = FairQueue<String>(QueueLimits(maximumWorkspaces = 50))
        repeat(4_200) { index ->
            bounded.offer(request("w$index"), 0)
            bounded.poll(0)
            bounded.correct(WorkspaceName("w$index"), 1, 100, 900)
        }
        assertTrue(bounded.workspaces <= 51)
    }
}
