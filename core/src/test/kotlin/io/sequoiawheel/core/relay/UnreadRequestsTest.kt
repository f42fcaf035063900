package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class UnreadRequestsTest {
    private var nowMillis = 0L
    private val unread = UnreadRequests({ nowMillis }, limitBytes = 1_000)

    // Guards against a replica that is passed over although it reads a large request steadily.
    @Test
    fun `a replica that reads now and then is not stalled`() {
        unread.begin(900)
        repeat(8) {
            nowMillis += UnreadRequests.STALL_MILLIS - 1
            assertFalse(unread.isStalled)
            unread.end(100, isSent = true)
        }
        nowMillis += UnreadRequests.STALL_MILLIS
        assertTrue(unread.isStalled)
    }

    // The requests to a replica that did not read ended at their deadlines, and the next ones were sent to it again.
    @Test
    fun `a replica that did not read is avoided for a while after its requests were dropped`() {
        unread.begin(100)
        nowMillis += UnreadRequests.STALL_MILLIS
        unread.end(100, isSent = false)
        assertTrue(unread.isStalled)
        nowMillis += UnreadRequests.AVOID_MILLIS
        assertFalse(unread.isStalled)
    }

    // Guards against a replica that is avoided because a caller closed its connection early.
    @Test
    fun `a request that is dropped early says nothing about its replica`() {
        unread.begin(100)
        nowMillis += UnreadRequests.STALL_MILLIS - 1
        unread.end(100, isSent = false)
        assertFalse(unread.isStalled)
    }

    // Guards against a replica that counts as stalled by the time since its last request.
    @Test
    fun `a replica with nothing to read is not stalled`() {
        nowMillis = 60_000
        assertFalse(unread.isStalled)
        unread.begin(10)
        assertFalse(unread.isStalled)
    }

    // Guards against unbounded requests in the write buffers of a replica that does not read.
    @Test
    fun `a replica is full until some of its requests are read or dropped`() {
        unread.begin(600)
        assertFalse(unread.isFull)
        unread.begin(600)
        assertTrue(unread.isFull)
        unread.end(600, isSent = true)
        assertFalse(unread.isFull)
        unread.end(600, isSent = true)
        assertEquals(0, unread.bytes)
    }
}
