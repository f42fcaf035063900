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

    private companion object {
        /** A request that was read and not passed on must end within this time. */
        const val ENDED_WITHIN_MILLIS = 200

        /** Far longer than a request takes to reach a replica on loopback. */
        const val ARRIVAL_MILLIS = 300L
        const val BEFORE_REMOVAL_MILLIS = 1_500L

        /** Ends after the connections are closed, and before the grace period is over. */
        const val LONG_CALL_MILLIS = 4_000L
    }
}
