package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** Six instances of one zone, of which one, the hub, watches the store on behalf of the others. */
class ChangeHubTest {
    private val fixture = RelayFixture()
    private val instances = ArrayList<RelayDaemon>()
    private lateinit var replica: ReplicaStandIn

    @BeforeEach
    fun start() {
        replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure(version = 1)
        for (number in 1..INSTANCES) instances += fixture.startInstance("entry-$number", FreePorts.allocate())
        RelayFixture.awaitTrue("one instance watches the store") { callsWithin(WINDOW_MILLIS) <= HUB_CALLS }
    }

    @AfterEach
    fun close() {
        instances.forEach { it.close() }
        fixture.close()
    }

    private fun callsWithin(millis: Long): Int {
        val before = fixture.store.calls
        Thread.sleep(millis)
        return fixture.store.calls - before
    }

    private fun status(
        instance: RelayDaemon,
        key: String,
    ) = fixture.send(fixture.request("/safe/a", key = key), instance).substringBefore("\r\n").split(' ')[1]

    private fun replaceKeys(
        version: Int,
        key: String,
    ) {
        fixture.configure(version, keys = """["$key"]""")
        val deadline = System.nanoTime() + REVOKE_MILLIS * NANOS_PER_MILLI
        val pending = instances.toMutableSet()
        while (pending.isNotEmpty() && System.nanoTime() < deadline) pending.removeIf { status(it, key) == "200" }
        assertTrue(pending.isEmpty(), "${pending.size} instances did not apply version $version")
    }

    @Test
    fun `changes reach all instances at the cost of store calls of one instance`() {
        val before = fixture.store.calls
        for (version in 2..CHANGES) replaceKeys(version, "key-$version")
        val calls = fixture.store.calls - before
        assertTrue(calls <= CHANGES * HUB_CALLS, "$calls calls for $CHANGES changes")
    }

    @Test
    fun `instances whose hub stopped read the next change from the store`() {
        replaceKeys(2, "key-2")
        instances.removeFirst().close()
        replaceKeys(3, "key-3")
        replaceKeys(4, "key-4")
    }

    @Test
    fun `instances whose hub lost the store accept no key beyond the revocation bound`() {
        fixture.store.isDown = true
        RelayFixture.awaitTrue("all refuse keys") { instances.all { status(it, "key-1") == "503" } }
        fixture.store.isDown = false
        RelayFixture.awaitTrue("all serve again") { instances.all { status(it, "key-1") == "200" } }
        replaceKeys(2, "key-2")
    }

    @Test
    fun `a replica whose entry expired in a store outage stays in use until it registers again`() {
        fixture.store.isDown = true
        RelayFixture.awaitTrue("all refuse keys") { instances.all { status(it, "key-1") == "503" } }
        fixture.store.remove("servers", "r-1")
        fixture.store.isDown = false
        RelayFixture.awaitTrue("all serve again") { instances.all { status(it, "key-1") == "200" } }
        fixture.register("r-1", RelayFixture.PLAIN, replica, state = "ready")
        val end = System.nanoTime() + OBSERVATION_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < end) assertTrue(instances.all { status(it, "key-1") == "200" })
    }

    // The failure of the hub must not count as an outage of the store, after which removed replicas stay in use.
    @Test
    fun `a replica that is removed soon after the hub stopped receives no request beyond the drain bound`() {
        fixture.replica("r-2") { request, answer -> answer.sendComplete(request, "world") }
        RelayFixture.awaitTrue("both replicas are followed") { fixture.store.isWatchedToEnd("servers") }
        instances.removeFirst().close()
        Thread.sleep(HUB_LOSS_MILLIS)
        fixture.store.remove("servers", "r-1")
        Thread.sleep(DRAIN_MILLIS)
        val requestsBefore = replica.requests.size
        repeat(CALLS) { instances.forEach { status(it, "key-1") } }
        assertEquals(requestsBefore, replica.requests.size)
    }

    private companion object {
        /** Time after which the members have left a stopped hub and watch the store. */
        const val HUB_LOSS_MILLIS = 300L

        /** The drain bound in the settings of the fixture. */
        const val DRAIN_MILLIS = 2_000L

        /** Calls of each instance; with two replicas, one that is still in use receives some of them. */
        const val CALLS = 8

        /** Longer than the time for which entries missing after an outage are kept. */
        const val OBSERVATION_MILLIS = 3_000L

        const val INSTANCES = 6
        const val CHANGES = 8

        /**
         * Store calls of a hub for one change: its watch returns and it starts the next, while it confirms the
         * configuration.
         */
        const val HUB_CALLS = 3
        const val WINDOW_MILLIS = 1_000L

        /** The revocation bound in the settings of the fixture. */
        const val REVOKE_MILLIS = 5_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
