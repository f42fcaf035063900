package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.RequestLimitMeter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Tests replicas that name the request rate that they accept from all instances together. */
class RequestLimitTest {
    private val fixture = RelayFixture()
    private val meter = RequestLimitMeter { System.nanoTime() / NANOS_PER_MILLI }
    private val others = ArrayList<RelayDaemon>()
    private val ids = AtomicInteger()

    @AfterEach
    fun close() {
        others.forEach { it.close() }
        fixture.close()
    }

    /** Starts a replica that counts the requests of each instance, which the request ids name. */
    private fun limitedReplica(id: String) =
        fixture.replica(id) { request, answer ->
            val sender = request.header("X-Request-Id").orEmpty().substringBefore('/')
            meter.recordRequest(sender)
            answer.sendComplete(request, id)
            meter.recordResponse(sender)
        }

    private fun startFleet(): List<RelayDaemon> {
        fixture.configure()
        fixture.startOnPort(FreePorts.allocate())
        for (name in listOf("entry-2", "entry-3")) others += fixture.startInstance(name, FreePorts.allocate())
        val fleet = others + fixture.daemon
        RelayFixture.awaitTrue("all instances are live") { fleet.all { it.liveInstances == fleet.size } }
        return fleet
    }

    /** Sends calls to each of [fleet] in parallel for [millis] milliseconds, and returns the responses. */
    private fun callAll(
        fleet: List<RelayDaemon>,
        millis: Long,
    ): List<String> {
        val end = System.nanoTime() + millis * NANOS_PER_MILLI
        val responses = ConcurrentLinkedQueue<String>()
        fleet
            .mapIndexed { index, instance ->
                thread {
                    while (System.nanoTime() < end) {
                        val id = "entry-${index + 1}/${ids.incrementAndGet()}"
                        responses += fixture.send(fixture.request("/unsafe/a", id), instance)
                        Thread.sleep(CALL_INTERVAL_MILLIS)
                    }
                }
            }.forEach { it.join() }
        return responses.toList()
    }

    // Each of several instances may keep to a limit that their requests exceed together.
    @Test
    fun `three instances together send a limited replica no more than its limit`() {
        val limited = limitedReplica("r-1").also { it.requestLimit = LIMIT_PER_SECOND.toString() }
        fixture.replica("r-2") { request, answer ->
            Thread.sleep(SLOWER_MILLIS)
            answer.sendComplete(request, "r-2")
        }
        meter.recordLimit(LIMIT_PER_SECOND)
        val fleet = startFleet()
        val responses = callAll(fleet, RequestLimitMeter.DEFAULT_CONTACT_MILLIS + RequestLimitMeter.WINDOW_MILLIS * 2)
        assertNull(meter.worstExcess())
        assertTrue(responses.all { it.startsWith("HTTP/1.1 200") }, "the other replica has capacity for all calls")
        assertTrue(limited.requests.size >= LIMIT_PER_SECOND, "${limited.requests.size} requests")
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val LIMIT_PER_SECOND = 2.5

        /** Longer than the response time that is assumed before the first response, so that calls prefer the other. */
        const val SLOWER_MILLIS = 80L
        const val CALL_INTERVAL_MILLIS = 30L
    }
}
