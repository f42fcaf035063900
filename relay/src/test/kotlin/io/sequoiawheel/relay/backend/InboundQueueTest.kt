package io.sequoiawheel.relay.backend

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class InboundQueueTest {
    private val channel = EmbeddedChannel()
    private val queue = InboundQueue().apply { attach(channel) }

    private fun part(size: Int) = DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(size) { 'x'.code.toByte() }))

    private fun receiveAll(): List<Int> =
        buildList {
            while (queue.hasUnread) {
                val message = runBlocking { queue.receive() } as HttpContent
                add(message.content().readableBytes())
                message.release()
            }
        }

    // A queue that counted the content only held 131,072 chunks of one byte, of 200 bytes each.
    @Test
    fun `parts of one byte are merged and reading pauses by the memory that they occupy`() {
        var offered = 0
        while (channel.config().isAutoRead) {
            queue.offer(part(1))
            offered++
        }
        val received = receiveAll()
        assertEquals(offered, received.sum())
        assertTrue(received.size <= offered / 1_000, "${received.size} messages for $offered parts")
        assertTrue(channel.config().isAutoRead)
    }

    @Test
    fun `reading pauses after few messages that cannot be merged`() {
        var offered = 0
        while (channel.config().isAutoRead) {
            queue.offer(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT))
            offered++
        }
        assertTrue(offered < 100, "$offered heads")
    }

    @Test
    fun `parts keep their order and are not merged beyond the end of a body or into one that was received`() {
        queue.offer(part(2))
        queue.offer(part(3))
        queue.offer(part(5_000))
        queue.offer(part(1))
        queue.offer(LastHttpContent.EMPTY_LAST_CONTENT)
        queue.offer(part(4))
        assertEquals(listOf(5, 5_000, 1, 0, 4), receiveAll())
        queue.offer(part(6))
        assertEquals(listOf(6), receiveAll())
    }

    @Test
    fun `messages received before the close are read, and nothing after it`() {
        val last = LastHttpContent.EMPTY_LAST_CONTENT
        queue.offer(last)
        queue.close()
        queue.offer(part(1))
        assertFalse(queue.isIdle)
        assertSame(last, runBlocking { queue.receive() })
        assertThrows(ConnectionEndedException::class.java) { runBlocking { queue.receive() } }
    }
}
