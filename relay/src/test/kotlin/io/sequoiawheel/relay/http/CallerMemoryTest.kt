package io.sequoiawheel.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.memory.MemoryBudget
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.ProcessLimits
import io.sequoiawheel.relay.RelayFixture
import io.sequoiawheel.relay.backend.ResponseMemory
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Callers whose requests are refused while they are read, and the memory that is held for them. */
class CallerMemoryTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val clock = Clock { System.nanoTime() / 1_000_000 }
    private val budget = MemoryBudget(BUDGET_BYTES, NEWCOMER_BYTES, clock)
    private val refused = CopyOnWriteArrayList<RefusalReason>()
    private val mayAnswer = CompletableDeferred<Unit>()
    private val waiting = AtomicInteger()
    private val service =
        object : CallerService {
            override val clock = this@CallerMemoryTest.clock
            override val limits = ConnectionLimits(BODY_BYTES, headerTimeoutMillis = 300, idleTimeoutMillis = 1_000)
            override val isLeaving = false

            override suspend fun serve(
                request: CallerRequest,
                response: CallerResponse,
            ) {
                if (request.path == "/wait") {
                    waiting.incrementAndGet()
                    mayAnswer.await()
                }
                response.sendComplete(HttpResponseStatus.OK, null, "${request.body.size}".toByteArray())
            }

            override fun onRejected(
                code: ResultCode,
                detail: String,
            ) = Unit

            override fun onRefused(reason: RefusalReason) {
                refused += reason
            }

            override fun onUnanswered(
                reason: UnansweredReason,
                cause: Throwable?,
            ) = Unit
        }

    @AfterEach
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun start(connections: Int = 10): Int {
        val limits = CallerLimits.of(ProcessLimits(), HEAP_BYTES, CallerLimitSettings(connections = connections))
        val open = CallerConnections(clock, ResponseMemory(clock), limits, budget)
        return runBlocking { CallerServer(group.next(), scope, service, open).start(ANY_PORT, HEADER_BYTES) }
    }

    private fun connect(
        port: Int,
        sent: String,
    ) = Socket("127.0.0.1", port).apply {
        soTimeout = READ_MILLIS
        getOutputStream().write(sent.toByteArray())
    }

    private fun Socket.answer(): String = use { String(it.getInputStream().readBytes()) }

    private fun head(
        lines: String,
        path: String = "/a",
    ) = "POST $path HTTP/1.1\r\nHost: h\r\n$lines\r\n\r\n"

    // The configured time for a head was never applied, so that callers kept the memory of unfinished heads.
    @Test
    fun `a head that is not complete in time is answered 408`() {
        assertTrue(connect(start(), "POST / HTTP/1.1\r\nHost: h\r\n").answer().startsWith("HTTP/1.1 408"))
        assertEquals(listOf(RefusalReason.SLOW_HEAD), refused)
        RelayFixture.awaitTrue("nothing is held") { budget.accountCount == 0 && budget.heldBytes == 0L }
    }

    // A body that stopped just short of its end was kept until the caller closed the connection.
    @Test
    fun `a body that stalls is answered 408`() {
        assertTrue(connect(start(), head("Content-Length: 5") + "hell").answer().startsWith("HTTP/1.1 408"))
        assertEquals(listOf(RefusalReason.SLOW_BODY), refused)
        RelayFixture.awaitTrue("nothing is held") { budget.accountCount == 0 && budget.heldBytes == 0L }
    }

    @Test
    fun `an announced body over the limit is answered 413 before it is sent`() {
        val answer = connect(start(), head("Content-Length: ${BODY_BYTES + 1}")).answer()
        assertTrue(answer.startsWith("HTTP/1.1 413"), answer)
    }

    // An account that is not released would use up the memory for callers in the course of time.
    @Test
    fun `the memory of requests is released when they were answered and when their callers left`() {
        val port = start()
        repeat(3) {
            val body = "1\r\nx\r\n".repeat(BODY_BYTES / 4) + "0\r\n\r\n"
            val answer = connect(port, head("Transfer-Encoding: chunked\r\nConnection: close") + body).answer()
            assertTrue(answer.endsWith("\r\n\r\n${BODY_BYTES / 4}"), answer)
        }
        connect(port, head("Content-Length: 50000") + "x".repeat(30_000)).use {
            RelayFixture.awaitTrue("the body is held") { budget.heldBytes > 30_000 }
        }
        connect(port, head("Content-Length: 0", "/wait") + head("Content-Length: 0")).use {
            RelayFixture.awaitTrue("the queued request is held") { budget.heldBytes > 0 }
        }
        RelayFixture.awaitTrue("nothing is held") { budget.accountCount == 0 && budget.heldBytes == 0L }
        assertEquals(emptyList<RefusalReason>(), refused)
    }

    // Stalled bodies kept the memory that the bodies of other callers needed.
    @Test
    fun `one of two bodies that find no room together is refused with 503`() {
        val port = start()
        val stalled = connect(port, head("Content-Length: $BODY_BYTES") + "x".repeat(BODY_BYTES - 1))
        RelayFixture.awaitTrue("the stalled body is held") { budget.heldBytes >= BODY_BYTES }
        val second = connect(port, head("Content-Length: $BODY_BYTES\r\nConnection: close") + "x".repeat(BODY_BYTES))
        val answers = listOf(stalled.answer(), second.answer())
        assertTrue(answers.any { it.startsWith("HTTP/1.1 503") && "retry-after: 1.000" in it }, answers.toString())
        assertTrue(RefusalReason.MEMORY in refused, refused.toString())
    }

    @Test
    fun `a new connection takes the place of one that never sent a request`() {
        val port = start(connections = 2)
        val idle = List(2) { connect(port, "") }
        Thread.sleep(SETTLE_MILLIS)
        val answer = connect(port, head("Content-Length: 0\r\nConnection: close")).answer()
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        assertEquals(listOf(RefusalReason.CONNECTIONS), refused)
        idle.forEach { it.close() }
    }

    // The first ordinary caller after a crowd was cut, since connections that the crowd had just left still counted.
    @Test
    fun `a new connection is served once one of those at the limit has ended`() {
        val port = start(connections = 1)
        val served = connect(port, head("Content-Length: 0\r\nConnection: close", "/wait"))
        RelayFixture.awaitTrue("the request is served") { waiting.get() == 1 }
        val newcomers = List(2) { connect(port, head("Content-Length: 0\r\nConnection: close")) }
        Thread.sleep(SETTLE_MILLIS)
        mayAnswer.complete(Unit)
        for (socket in newcomers + served) {
            val answer = socket.answer()
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer)
        }
        assertEquals(emptyList<RefusalReason>(), refused)
    }

    @Test
    fun `a body is gathered without memory far beyond its size`() {
        var held = 0L
        val builder =
            CallerBodyBuilder(announcedBytes = null) { bytes ->
                held += bytes
                held < BUDGET_BYTES
            }
        repeat(BODY_BYTES) { assertTrue(builder.append(Unpooled.wrappedBuffer(byteArrayOf(it.toByte())))) }
        val buffer = builder.build().toBuffer()
        assertEquals(BODY_BYTES, buffer.readableBytes())
        assertTrue((0 until BODY_BYTES).all { buffer.getByte(it) == it.toByte() })
        assertTrue(held < 2L * BODY_BYTES + NEWCOMER_BYTES, "$held bytes")
    }

    @Test
    fun `limits follow from the memory and the descriptors of the process`() {
        val limits = CallerLimits.of(ProcessLimits(280L * MEGABYTE, 2_212), 96L * MEGABYTE)
        assertEquals(24L * MEGABYTE, limits.memoryBytes)
        assertEquals(637, limits.connections)
        val set = CallerLimitSettings.of(mapOf("SEQUOIAWHEEL_CALLER_MEMORY_MB" to "7"))
        assertEquals(7L * MEGABYTE, CallerLimits.of(ProcessLimits(), 96L * MEGABYTE, set).memoryBytes)
        val wrong = mapOf("SEQUOIAWHEEL_CALLER_CONNECTIONS" to "many")
        val failure = assertThrows(IllegalArgumentException::class.java) { CallerLimitSettings.of(wrong) }
        assertTrue("SEQUOIAWHEEL_CALLER_CONNECTIONS" in failure.message.orEmpty())
        assertFalse(set == CallerLimitSettings())
    }

    private companion object {
        val ANY_PORT = Endpoint("127.0.0.1", 0)
        const val MEGABYTE = 1_048_576
        const val HEAP_BYTES = 96L * MEGABYTE
        const val HEADER_BYTES = 16_384
        const val BODY_BYTES = 65_536
        const val NEWCOMER_BYTES = 4_096L

        /** Room for the largest body with its last segment, and not for two. */
        const val BUDGET_BYTES = 160_000L
        const val READ_MILLIS = 8_000
        const val SETTLE_MILLIS = 200L
    }
}
