package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** Six instances of one zone, of which one watches the store for the others. */
class ChangeHubTest {
    private val fixture = RelayFixture()
    private val instances = ArrayList<RelayDaemon>()
    private lateinit var replica: ReplicaStandIn

    @BeforeEach
    fun start() {
        replica = fixture.replica("r-1") { request, answer -> answer.whole(request, "world") }
        fixture.configure(version = 1)
        for (number in 1..INSTANCES) instances += fixture.startInstance("entry-$number", FreePorts.take())
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

    private fun revoke(
        version: Int,
        key: String,
    ) {
        fixture.configure(version, keys = """["$key"]""")
        val deadline = System.nanoTime() + REVOKE_MILLIS * NANOS_PER_MILLI
        val pending = instances.toMutableSet()
        while (pending.isNotEmpty() && System.nanoTime() < deadline) pending.removeIf { status(it, key) == "200" }
        assertTrue(pending.isEmpty(), "${pending.size} instances do not know version $version")
    }

    @Test
    fun `changes cost the calls of one instance and reach all`() {
        val before = fixture.store.calls
        for (version in 2..CHANGES) revoke(version, "key-$version")
        val calls = fixture.store.calls - before
        assertTrue(calls <= CHANGES * HUB_CALLS, "$calls calls for $CHANGES changes")
    }

    @Test
    fun `instances whose hub is gone learn of the next change from the store`() {
        revoke(2, "key-2")
        instances.removeFirst().close()
        revoke(3, "key-3")
        revoke(4, "key-4")
    }

    @Test
    fun `instances whose hub loses the store honour no key for longer than the bound`() {
        fixture.store.isDown = true
        RelayFixture.awaitTrue("all refuse keys") { instances.all { status(it, "key-1") == "503" } }
        fixture.store.isDown = false
        RelayFixture.awaitTrue("all serve again") { instances.all { status(it, "key-1") == "200" } }
        revoke(2, "key-2")
    }

    @Test
    fun `an entry that lapsed with the store is kept until it is back, whoever tells of it`() {
        fixture.store.isDown = true
        RelayFixture.awaitTrue("all refuse keys") { instances.all { status(it, "key-1") == "503" } }
        fixture.store.remove("servers", "r-1")
        fixture.store.isDown = false
        RelayFixture.awaitTrue("all serve again") { instances.all { status(it, "key-1") == "200" } }
        fixture.register("r-1", RelayFixture.PLAIN, replica, state = "ready")
        val end = System.nanoTime() + BACK_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < end) assertTrue(instances.all { status(it, "key-1") == "200" })
    }

    private companion object {
        /** Longer than missing entries are kept. */
        const val BACK_MILLIS = 3_000L

        const val INSTANCES = 6
        const val CHANGES = 8

        /** A hub answers its own watch and starts the next; it renews the proof of the configuration meanwhile. */
        const val HUB_CALLS = 3
        const val WINDOW_MILLIS = 1_000L

        /** The bound of the fixture's settings. */
        const val REVOKE_MILLIS = 5_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
