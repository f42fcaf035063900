package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.EraReport
import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.standin.platform.LostWrite
import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress

/**
 * An instance starts after the platform's store was restored from an older copy, so that it has not seen the change of
 * the era. Guards against a start that takes an older configuration for the newest one.
 */
class StartAfterRestoreTest {
    private val fixture = RelayFixture()
    private val instances = ArrayList<RelayDaemon>()
    private lateinit var replica: ReplicaStandIn

    @BeforeEach
    fun configure() {
        replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure(version = 5, keys = """["key-1","key-2"]""")
    }

    @AfterEach
    fun close() {
        instances.forEach { it.close() }
        fixture.close()
    }

    private fun status(
        instance: RelayDaemon,
        key: String,
    ) = fixture.send(fixture.request("/safe/a", key = key), instance).substringBefore("\r\n").split(' ')[1]

    /** Starts [count] instances, revokes `key-2` with version 9, and restores the store from a copy with version 5. */
    private fun revokeAndRestore(count: Int): List<LostWrite> {
        repeat(count) { instances += fixture.startInstance("entry-${it + 1}", FreePorts.allocate()) }
        val copy = fixture.store.snapshot()
        fixture.configure(version = 9, keys = """["key-1"]""")
        for (instance in instances) {
            RelayFixture.awaitTrue("the key is revoked") { status(instance, "key-2") == "401" }
        }
        return fixture.store.restore(copy, OUTAGE_MILLIS)
    }

    /** Starts one more instance and sends it requests with the revoked key for [WINDOW_MILLIS]. */
    private fun launchAndCheck(name: String): RelayDaemon {
        val started = fixture.launchInstance(name, FreePorts.allocate()).also { instances += it }
        val requestsBefore = replica.requests.size
        val end = System.nanoTime() + WINDOW_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < end) {
            status(started, "key-2")
            assertEquals(requestsBefore, replica.requests.size, "a request with the revoked key reached a replica")
        }
        return started
    }

    // The configuration in the copy was confirmed as current by the first listing, since no older era had been seen.
    @Test
    fun `an instance that starts after a restore serves no key that another instance knows to be revoked`() {
        val lostWrites = revokeAndRestore(count = 1)
        val started = launchAndCheck("entry-2")
        assertFalse(started.isReady)
        fixture.store.replay(lostWrites)
        RelayFixture.awaitTrue("entry-2 is ready") { started.isReady }
        assertEquals("401", status(started, "key-2"))
        assertEquals("200", status(started, "key-1"))
    }

    // Only the instance that has just started itself is left to tell a later one of the newer version.
    @Test
    fun `an instance that was told of a newer version tells the next one`() {
        revokeAndRestore(count = 1)
        launchAndCheck("entry-2")
        instances.removeFirst().close()
        launchAndCheck("entry-3")
    }

    // The entry of an instance that has terminated stays in the store.
    @Test
    fun `an instance starts although the only other one that is listed does not answer`() {
        val endpoint = """{"endpoint":"127.0.0.1:${FreePorts.allocate()}","zone":"a"}"""
        fixture.store.put("entry-instances", "entry-9", Json.parseToJsonElement(endpoint))
        instances += fixture.startInstance("entry-1", FreePorts.allocate())
        assertEquals("200", status(instances.single(), "key-2"))
    }

    // Any process may send datagrams to the port between instances.
    @Test
    fun `reports of newer versions that nobody asked for do not stop an instance`() {
        val port = FreePorts.allocate()
        val instance = fixture.startInstance("entry-1", port).also { instances += it }
        DatagramSocket(0, InetAddress.getLoopbackAddress()).use { socket ->
            val endpoint = "127.0.0.1:${socket.localPort}"
            for (sequence in 1L..REPORTS) {
                val newest = EraReport(era = 1, version = Long.MAX_VALUE)
                val report =
                    PeerReport("entry-9", 1, sequence, endpoint, emptyMap(), zone = "a", storeEra = newest)
                val bytes = report.encode().toByteArray()
                socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port))
                assertEquals("200", status(instance, "key-1"))
            }
            RelayFixture.awaitTrue("the sender is known") { instance.liveInstances == 2 }
            assertEquals("200", status(instance, "key-1"))
        }
    }

    private companion object {
        const val REPORTS = 20
        const val OUTAGE_MILLIS = 300L
        const val WINDOW_MILLIS = 1_200L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
