package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.RequestLimitMeter
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
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

    private fun startFleet(size: Int): List<RelayDaemon> {
        fixture.configure(timeoutMillis = TIMEOUT_MILLIS)
        fixture.startOnPort(FreePorts.allocate())
        for (number in 2..size) others += fixture.startInstance("entry-$number", FreePorts.allocate())
        val fleet = listOf(fixture.daemon) + others
        RelayFixture.awaitTrue("all instances are live") { fleet.all { it.liveInstances == fleet.size } }
        return fleet
    }

    private class TimedResponse(
        val text: String,
        val elapsedMillis: Long,
    ) {
        val isSuccess get() = text.startsWith("HTTP/1.1 200")
    }

    /** Sends calls to each of [fleet] in parallel for [millis] milliseconds, and returns the responses. */
    private fun callAll(
        fleet: List<RelayDaemon>,
        millis: Long,
    ): List<TimedResponse> {
        val end = System.nanoTime() + millis * NANOS_PER_MILLI
        val responses = ConcurrentLinkedQueue<TimedResponse>()
        fleet
            .mapIndexed { index, instance ->
                thread {
                    while (System.nanoTime() < end) {
                        val id = "entry-${index + 1}/${ids.incrementAndGet()}"
                        val startedNanos = System.nanoTime()
                        val text = fixture.send(fixture.request("/unsafe/a", id), instance)
                        responses += TimedResponse(text, (System.nanoTime() - startedNanos) / NANOS_PER_MILLI)
                        Thread.sleep(CALL_INTERVAL_MILLIS)
                    }
                }
            }.forEach { it.join() }
        return responses.toList()
    }

    /** Lets [instances] call at once for three windows, and returns the responses. */
    private fun callFromFleet(instances: Int): List<TimedResponse> {
        limitedReplica("r-1").requestLimit = LIMIT_PER_SECOND.toString()
        fixture.replica("r-2") { request, answer ->
            Thread.sleep(SLOWER_MILLIS)
            answer.sendComplete(request, "r-2")
        }
        meter.recordLimit(LIMIT_PER_SECOND)
        val fleet = startFleet(instances)
        return callAll(fleet, RequestLimitMeter.DEFAULT_CONTACT_MILLIS + RequestLimitMeter.WINDOW_MILLIS * 2)
    }

    // Each of several instances may keep to a limit that their requests exceed together.
    @Test
    fun `three instances together send a limited replica no more than its limit`() {
        val responses = callFromFleet(instances = 3)
        assertNull(meter.worstExcess())
        assertTrue(responses.all { it.isSuccess }, "the other replica has capacity for all calls")
        assertTrue(responses.count { it.text.endsWith("r-1") } >= LIMIT_PER_SECOND)
    }

    // With more instances than the tolerance has requests, a share for each would exceed the limit.
    @Test
    fun `a large fleet sends a limited replica no more than its limit, and refuses the rest at once`() {
        val responses = callFromFleet(Integer.getInteger(FLEET_PROPERTY, FLEET_SIZE))
        assertNull(meter.worstExcess())
        assertTrue(responses.count { it.text.endsWith("r-1") } >= LIMIT_PER_SECOND)
        val others = responses.filterNot { it.isSuccess }
        for (refusal in others) {
            assertTrue(refusal.text.startsWith("HTTP/1.1 503") && retryAfterMillis(refusal.text) > 0, refusal.text)
            assertTrue(refusal.elapsedMillis <= TIMEOUT_MILLIS / 2, "refused after ${refusal.elapsedMillis} ms")
        }
    }

    private fun call() = fixture.send(fixture.request("/unsafe/a", "entry-1/${ids.incrementAndGet()}"))

    private fun retryAfterMillis(response: String) =
        Regex("Retry-After: ([0-9.]+)", RegexOption.IGNORE_CASE)
            .find(response)
            ?.let { (it.groupValues[1].toDouble() * MILLIS_PER_SECOND).toLong() } ?: 0

    // A call that the limit does not allow must not wait for its deadline.
    @Test
    fun `a caller that a limited replica cannot serve is refused at once, and served after the Retry-After`() {
        limitedReplica("r-1").requestLimit = LIMIT_PER_SECOND.toString()
        fixture.configure()
        fixture.start()
        assertTrue(call().startsWith("HTTP/1.1 200"))
        val startedNanos = System.nanoTime()
        val refusal = call()
        val elapsedMillis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI
        assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal)
        assertTrue(elapsedMillis <= MAXIMUM_REFUSAL_MILLIS, "refused after $elapsedMillis ms")
        assertTrue(retryAfterMillis(refusal) in 1..MAXIMUM_RETRY_AFTER_MILLIS, refusal)
        Thread.sleep(retryAfterMillis(refusal))
        assertTrue(call().startsWith("HTTP/1.1 200"))
    }

    @Test
    fun `a response without the limit ends it`() {
        val replica = limitedReplica("r-1").also { it.requestLimit = LIMIT_PER_SECOND.toString() }
        fixture.configure()
        fixture.start()
        assertTrue(call().startsWith("HTTP/1.1 200"))
        replica.requestLimit = null
        RelayFixture.awaitTrue("the replica is asked again") { call().startsWith("HTTP/1.1 200") }
        assertTrue(List(UNLIMITED_CALLS) { call() }.all { it.startsWith("HTTP/1.1 200") })
    }

    // Requests to copy and continue a generation count as the requests of callers do.
    @Test
    fun `a generation is not copied from a limited replica that accepts no requests`() {
        val engines = listOf("e-1", "e-2").associateWith { id -> engine(id) }
        engines.values.forEach { it.requestLimit = "0" }
        fixture.configure()
        fixture.start()
        val stream = thread { fixture.send(fixture.request("/stream/a", "s-1", extra = "X-Token-Usage: 300,90\r\n")) }
        RelayFixture.awaitTrue("the stream has started") { engines.values.any { it.requests.isNotEmpty() } }
        val (id, source) = engines.entries.single { it.value.requests.isNotEmpty() }
        fixture.register(id, RelayFixture.ENGINE, source, state = "draining")
        stream.join()
        assertEquals(listOf("/stream/a"), source.requests.map { it.target })
    }

    private fun engine(id: String) =
        fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
            if (request.target == "/v1/kv-move") {
                answer.sendComplete(request, """{"session":"h-1","created":1}""")
            } else {
                answer.startStream(request)
                for (event in 1..EVENTS) {
                    answer.sendEvent(event)
                    Thread.sleep(EVENT_MILLIS)
                }
                answer.endStream()
            }
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val LIMIT_PER_SECOND = 2.5

        /** More instances than exchange their load with each other directly. */
        const val FLEET_SIZE = 20

        /** System property for larger fleets, as many as the machine bears. */
        const val FLEET_PROPERTY = "sequoiawheel.limit.instances"

        /** Longer than the response time that is assumed before the first response, so that calls prefer the other. */
        const val SLOWER_MILLIS = 80L
        const val CALL_INTERVAL_MILLIS = 30L

        /**
         * Long enough for responses on a busy machine to arrive before it, so that only a call that waits for the limit
         * reaches it.
         */
        const val TIMEOUT_MILLIS = 4_800
        const val MILLIS_PER_SECOND = 1_000.0

        /** Far below any deadline, with tolerance for a busy machine. */
        const val MAXIMUM_REFUSAL_MILLIS = 200L

        /** The time until the next request at the limit, half of it for spread, and the minimum spread of 200 ms. */
        const val MAXIMUM_RETRY_AFTER_MILLIS = 800L
        const val UNLIMITED_CALLS = 20
        const val EVENTS = 20
        const val EVENT_MILLIS = 20L
    }
}
