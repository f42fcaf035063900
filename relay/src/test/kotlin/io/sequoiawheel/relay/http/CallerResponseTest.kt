package io.sequoiawheel.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.relay.backend.ResponseMemory
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CallerResponseTest {
    private val channel = EmbeddedChannel(HttpResponseEncoder())
    private val service =
        object : CallerService {
            override val clock = Clock { 0L }
            override val limits = ConnectionLimits(0, 0, 0)
            override val isLeaving = false

            override suspend fun serve(
                request: CallerRequest,
                response: CallerResponse,
            ) = Unit

            override fun onRejected(
                code: ResultCode,
                detail: String,
            ) = Unit

            override fun onUnanswered(
                reason: UnansweredReason,
                cause: Throwable?,
            ) = Unit
        }
    private val scope = CoroutineScope(Dispatchers.Unconfined)
    private val connections = CallerConnections(service.clock, ResponseMemory(service.clock))
    private val response =
        CallerResponse(CallerConnection(channel, service, scope, connections), true) { false }

    /** Returns all bytes sent since the last call. */
    private fun sent(): String =
        generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { it.toString(Charsets.UTF_8) }

    /** Runs [action], which may be rejected by an exception, and returns the bytes that it sent. */
    private fun sentBy(action: suspend () -> Unit): String {
        sent()
        runCatching { runBlocking { action() } }
        return sent()
    }

    private suspend fun sendError() =
        response.sendError(HttpResponseStatus.BAD_GATEWAY, ResultCode.BACKEND_ERROR, "foreign", retryAfterMillis = 1)

    private fun start() = response.start(HttpResponseStatus.OK, DefaultHttpHeaders())

    // Guards against the head or the text of an error in the middle of a stream.
    @Test
    fun `a response that has begun takes no second head`() {
        start()
        assertEquals("", sentBy { sendError() })
        assertEquals("", sentBy { start() })
        assertFalse(response.isComplete)
        assertEquals(200, response.status)
    }

    // Guards against bytes after the end of a response, where its caller expects the next one.
    @Test
    fun `a complete response takes no further bytes`() {
        start()
        assertTrue(sentBy { response.finish() }.endsWith("0\r\n\r\n"))
        assertEquals("", sentBy { response.write("id: 1\n\n".toByteArray()) })
        assertEquals("", sentBy { response.finish() })
        assertEquals("", sentBy { sendError() })
        assertEquals("", sentBy { start() })
        response.abort()
        assertTrue(channel.isOpen, "a complete response was reset")
    }

    // Guards against an aborted response that is completed after all.
    @Test
    fun `an aborted response cannot be completed`() {
        start()
        response.abort()
        assertFalse(channel.isOpen)
        assertEquals("", sentBy { response.finish() })
        assertEquals("", sentBy { sendError() })
        assertFalse(response.isComplete)
    }

    // Guards against a body without a head.
    @Test
    fun `a response that has not begun takes no body`() {
        assertEquals("", sentBy { response.write("id: 1\n\n".toByteArray()) })
        assertEquals("", sentBy { response.finish() })
        assertFalse(response.isComplete)
    }
}
