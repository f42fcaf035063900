package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests engines that name their load, and how long work takes there, in their responses. */
class ReplicaSpeedTest {
    private val fixture = RelayFixture()
    private val log = CapturedLog()
    private val others = ArrayList<RelayDaemon>()

    @AfterEach
    fun close() {
        others.forEach { it.close() }
        fixture.close()
        log.close()
    }

    private fun engine(
        id: String,
        load: String?,
    ): ReplicaStandIn =
        fixture
            .replica(id, RelayFixture.ENGINE) { request, answer ->
                answer.startStream(request)
                for (event in 1..2) answer.sendEvent(event)
                answer.endStream()
            }.also { it.load = load }

    private fun generate(
        id: String,
        instance: RelayDaemon = fixture.daemon,
    ): String {
        val request = fixture.request("/stream/a", id, extra = "X-Token-Usage: 2200,8\r\n")
        return fixture.send(request, instance)
    }

    // Guards against a replica whose load nobody can read being taken out of service, or filling the log.
    @Test
    fun `malformed loads are counted, logged once and change nothing`() {
        val engine = engine("e-1", "1,0")
        fixture.configure()
        fixture.start()
        for ((index, load) in listOf("1,0", "1,0,24,fast", "1,0,24,-5", "1,0,24,0").withIndex()) {
            engine.load = load
            assertTrue(generate("id-$index").startsWith("HTTP/1.1 200"))
        }
        log.await("replica named a malformed load", "replica", "e-1")
        assertEquals(1, log.lines.count { it.text("message") == "replica named a malformed load" })
        assertTrue("""sequoiawheel_replica_loads_total{reason="malformed"} 4.0""" in fixture.daemon.metrics.scrape())
        assertNull(log.await("request ended", "request", "id-3").text("expectedFirstEventMilliseconds"))
    }

    @Test
    fun `the line of a request names the expected and the observed first event once the speed is known`() {
        engine("e-1", "1,0,24,120")
        fixture.configure()
        fixture.start()
        generate("id-1")
        assertNull(log.await("request ended", "request", "id-1").text("expectedFirstEventMilliseconds"))
        generate("id-2")
        val line = log.await("request ended", "request", "id-2")
        assertTrue(checkNotNull(line.text("expectedFirstEventMilliseconds")).toLong() in 100..400, "$line")
        assertNotNull(line.text("firstEventMilliseconds"))
        assertEquals("120", line.text("replicaFigure"))
    }

    // Guards against instances with few requests of their own that know the speed of no replica.
    @Test
    fun `an instance learns the speed from another one`() {
        engine("e-1", "1,0,24,250")
        fixture.configure()
        fixture.startOnPort(FreePorts.allocate())
        val other = fixture.startInstance("entry-2", FreePorts.allocate()).also { others += it }
        RelayFixture.awaitTrue("both instances are live") {
            fixture.daemon.liveInstances == 2 && other.liveInstances == 2
        }
        generate("id-1")
        RelayFixture.awaitTrue("the other instance knows the speed") {
            "sequoiawheel_replicas_paced 1.0" in other.metrics.scrape()
        }
        generate("id-2", other)
        assertNotNull(log.await("request ended", "request", "id-2").text("expectedFirstEventMilliseconds"))
    }
}
