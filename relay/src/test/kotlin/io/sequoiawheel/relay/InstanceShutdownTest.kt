package io.sequoiawheel.relay

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** The connections of callers while an instance shuts down. */
class InstanceShutdownTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun connect() = KeptConnection(fixture.connect())

    // The process ends after the shutdown, so a replica would run a request whose caller gets no response.
    @Test
    fun `a request that arrives after the shutdown does not reach a replica and its connection ends`() {
        val replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure()
        fixture.start()
        connect().use { caller ->
            assertEquals(200 to "world", caller.call("id-1"))
            runBlocking { fixture.daemon.leave() }
            val start = System.nanoTime()
            assertNull(caller.call("id-2"), "the connection ends without a response")
            val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)
            assertTrue(millis <= ENDED_WITHIN_MILLIS, "the connection ended after $millis ms")
        }
        Thread.sleep(ARRIVAL_MILLIS)
        assertEquals(listOf("id-1"), replica.requests.map { it.header("X-Request-Id") })
    }

    // A connection accepted just before the end of the shutdown would be read while the process ends.
    @Test
    fun `a connection without a request is closed by the shutdown`() {
        val replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure()
        fixture.start()
        connect().use { caller ->
            runBlocking { fixture.daemon.leave() }
            assertNull(caller.call("id-1"))
        }
        Thread.sleep(ARRIVAL_MILLIS)
        assertTrue(replica.requests.isEmpty())
    }

    // Idle callers keep their connections until the load balancer sends them to another instance.
    @Test
    fun `kept connections are served until the load balancer has removed the instance`() {
        fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure()
        fixture.start()
        connect().use { caller ->
            assertEquals(200 to "world", caller.call("id-1"))
            val shutdown = thread { runBlocking { fixture.daemon.leave() } }
            Thread.sleep(BEFORE_REMOVAL_MILLIS)
            assertEquals(200 to "world", caller.call("id-2"))
            shutdown.join()
        }
    }

    // A long call must not be cut off when the idle connections are closed.
    @Test
    fun `a call in progress is answered although other connections are closed`() {
        val working = CountDownLatch(1)
        fixture.replica("r-1") { request, answer ->
            working.countDown()
            Thread.sleep(LONG_CALL_MILLIS)
            answer.sendComplete(request, "world")
        }
        fixture.configure(timeoutMillis = 6_000)
        fixture.start()
        connect().use { busy ->
            busy.send("id-1")
            assertTrue(working.await(2, TimeUnit.SECONDS))
            connect().use { idle ->
                val shutdown = thread { runBlocking { fixture.daemon.leave() } }
                assertNull(idle.receive(), "the idle connection ends")
                assertEquals(200 to "world", busy.receive())
                shutdown.join()
            }
        }
    }

    /**
     * Sends a request to [path] whose body ends late in the grace period, to a replica that works beyond its end.
     * Returns the response, or null if the process would have ended without one.
     */
    private fun callLateInGracePeriod(path: String): Pair<Int, String>? {
        val service = if (path.startsWith("/stream")) RelayFixture.ENGINE else RelayFixture.PLAIN
        val reached = CountDownLatch(1)
        fixture.replica("r-1", service) { request, answer ->
            reached.countDown()
            Thread.sleep(BEYOND_GRACE_MILLIS)
            answer.sendComplete(request, "world")
        }
        fixture.configure(timeoutMillis = LONG_TIMEOUT_MILLIS)
        fixture.start()
        connect().use { caller ->
            val ended = CountDownLatch(1)
            thread {
                runBlocking { fixture.daemon.leave() }
                fixture.daemon.close()
                ended.countDown()
            }
            val output = caller.socket.getOutputStream()
            output.write(
                (
                    "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\nApi-Key: key-1\r\n" +
                        "X-Deadline-Ms: $LONG_TIMEOUT_MILLIS\r\nX-Token-Usage: 10,10\r\nContent-Length: 5\r\n\r\nhel"
                ).toByteArray(),
            )
            Thread.sleep(LATE_MILLIS)
            output.write("lo".toByteArray())
            assertTrue(reached.await(2, TimeUnit.SECONDS), "the request was not passed on")
            return caller.receive().also { ended.await() }
        }
    }

    // The end of the process cut requests that had been taken late, among them ones that may not be repeated.
    @Test
    fun `a call that is taken late in the grace period is answered before the process ends`() {
        assertEquals(504, callLateInGracePeriod("/unsafe/a")?.first)
    }

    @Test
    fun `a generation that is taken late in the grace period and does not begin is answered before the process ends`() {
        assertEquals(504, callLateInGracePeriod("/stream/a")?.first)
    }

    private companion object {
        const val LONG_TIMEOUT_MILLIS = 15_000

        /** After the connections of callers are told to close, and early enough to be taken. */
        const val LATE_MILLIS = 4_500L

        /** From then on longer than the rest of the grace period of 8 s. */
        const val BEYOND_GRACE_MILLIS = 6_000L

        /** A request that was read and not passed on must end within this time. */
        const val ENDED_WITHIN_MILLIS = 200

        /** Far longer than a request takes to reach a replica on loopback. */
        const val ARRIVAL_MILLIS = 300L
        const val BEFORE_REMOVAL_MILLIS = 1_500L

        /** Ends after the connections are closed, and before the grace period is over. */
        const val LONG_CALL_MILLIS = 4_000L
    }
}
