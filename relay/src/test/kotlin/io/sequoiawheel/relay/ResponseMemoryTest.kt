package io.sequoiawheel.relay

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** What an instance holds of responses is released when their connections end, in whichever way. */
class ResponseMemoryTest {
    private val fixture = RelayFixture()
    private val running = AtomicInteger()

    @BeforeEach
    fun start() {
        fixture.replica("p-1", RelayFixture.PLAIN) { request, answer -> answer.sendComplete(request, LARGE_BODY) }
        fixture.replica("e-1", RelayFixture.ENGINE) { request, answer ->
            running.incrementAndGet()
            try {
                answer.startStream(request)
                var event = 0
                while (true) answer.sendChunk(List(EVENTS) { "id: ${++event}\n\n" }.joinToString(""))
            } catch (closed: IOException) {
                // Expected: the instance closed the connection.
            } finally {
                running.decrementAndGet()
            }
        }
        fixture.configure()
        fixture.start()
    }

    @AfterEach
    fun close() = fixture.close()

    private fun open(path: String): Socket {
        val socket = Socket()
        socket.receiveBufferSize = RECEIVE_BYTES
        socket.connect(InetSocketAddress("127.0.0.1", fixture.daemon.callerPort))
        socket.getOutputStream().write(fixture.request(path).toByteArray())
        return socket
    }

    private fun assertNothingHeld() {
        RelayFixture.awaitTrue("no account is left") { fixture.gauge("response_memory_accounts") == 0L }
        RelayFixture.awaitTrue("no memory is held") { fixture.gauge("response_memory_bytes") == 0L }
        RelayFixture.awaitTrue("no run goes on") { running.get() == 0 }
    }

    // A leak in the accounts would use up the memory for responses, and close callers that read.
    @Test
    fun `a connection releases its memory when its caller resets it`() {
        for (path in PATHS) {
            val socket = open(path)
            RelayFixture.awaitTrue("$path is held") { fixture.gauge("response_memory_bytes") > HELD_BYTES }
            socket.setSoLinger(true, 0)
            socket.close()
            assertNothingHeld()
        }
    }

    // A leak in the accounts would use up the memory for responses, and close callers that read.
    @Test
    fun `a connection releases its memory when its caller closes it`() {
        for (path in PATHS) {
            val socket = open(path)
            RelayFixture.awaitTrue("$path is held") { fixture.gauge("response_memory_bytes") > HELD_BYTES }
            socket.close()
            assertNothingHeld()
        }
    }

    // A body that was read whole must not remain counted while its connection is kept open for the next request.
    @Test
    fun `a connection releases its memory when its caller has read the response`() {
        KeptConnection(fixture.connect()).use { caller ->
            repeat(3) {
                caller.send("id-$it", "/unsafe/a")
                caller.receive()
                RelayFixture.awaitTrue("no memory is held") { fixture.gauge("response_memory_bytes") == 0L }
            }
        }
        assertNothingHeld()
    }

    private companion object {
        val PATHS = listOf("/unsafe/a", "/stream/a")
        val LARGE_BODY = "x".repeat(4 * 1_048_576)
        const val EVENTS = 500
        const val RECEIVE_BYTES = 4_096
        const val HELD_BYTES = 65_536L
    }
}
