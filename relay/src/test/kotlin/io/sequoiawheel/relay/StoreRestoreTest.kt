package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReplicaStandIn
import io.sequoiawheel.standin.platform.StoreSnapshot
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * The platform's store is unavailable for a moment and is then restored from an older copy, in a new era. Guards
 * against instances that fall back to revoked keys, removed replicas or older configurations from that copy.
 */
class StoreRestoreTest {
    private val fixture = RelayFixture()
    private val instances = ArrayList<RelayDaemon>()
    private lateinit var replica: ReplicaStandIn
    private lateinit var copy: StoreSnapshot

    @BeforeEach
    fun configure() {
        replica = fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure(version = 5, keys = KEYS)
        copy = fixture.store.snapshot()
    }

    @AfterEach
    fun close() {
        instances.forEach { it.close() }
        fixture.close()
    }

    private fun start(count: Int) {
        for (number in 1..count) instances += fixture.startInstance("entry-$number", FreePorts.allocate())
    }

    private fun status(
        instance: RelayDaemon,
        key: String,
    ) = fixture.send(fixture.request("/safe/a", key = key), instance).substringBefore("\r\n").split(' ')[1]

    private fun awaitAll(
        key: String,
        status: String,
    ) = instances.forEach { RelayFixture.awaitTrue("$status for $key") { status(it, key) == status } }

    /** Sends requests to all instances for [millis] and checks that none accepts [key]. */
    private fun assertRefused(
        key: String,
        millis: Long,
    ) {
        val end = System.nanoTime() + millis * NANOS_PER_MILLI
        while (System.nanoTime() < end) {
            for (instance in instances) assertTrue(status(instance, key) != "200", "$key is accepted")
        }
    }

    @Test
    fun `a revoked key stays revoked after a restore from a copy that still contains it`() {
        start(1)
        fixture.configure(version = 6, keys = FIRST_KEY_ONLY)
        awaitAll("key-2", "401")
        val lostWrites = fixture.store.restore(copy, OUTAGE_MILLIS)
        assertRefused("key-2", WINDOW_MILLIS)
        fixture.store.replay(lostWrites)
        awaitAll("key-1", "200")
        assertRefused("key-2", WINDOW_MILLIS)
    }

    @Test
    fun `a key revoked before a restore is refused within the bound even if no instance read the revocation`() {
        start(1)
        awaitAll("key-2", "200")
        fixture.store.isDown = true
        fixture.configure(version = 6, keys = FIRST_KEY_ONLY)
        val revokedAt = System.nanoTime()
        val lostWrites = fixture.store.restore(copy, LONG_OUTAGE_MILLIS)
        Thread.sleep(LISTING_MILLIS)
        fixture.store.isDown = true
        while (System.nanoTime() - revokedAt < REVOKE_MILLIS * NANOS_PER_MILLI) Thread.sleep(POLL_MILLIS)
        assertRefused("key-2", WINDOW_MILLIS / 2)
        fixture.store.isDown = false
        fixture.store.replay(lostWrites)
        awaitAll("key-1", "200")
        awaitAll("key-2", "401")
    }

    @Test
    fun `all instances reach the newest configuration after a restore during a configuration change`() {
        start(1)
        fixture.configure(version = 6, keys = FIRST_KEY_ONLY)
        val lostWrites = fixture.store.restore(copy, OUTAGE_MILLIS)
        fixture.store.replay(lostWrites)
        fixture.configure(version = 8, keys = """["key-1","key-3"]""")
        awaitAll("key-3", "200")
        awaitAll("key-2", "401")
    }

    @Test
    fun `no older configuration is applied when two restores in a row reuse revisions`() {
        start(1)
        for (version in 6..7) fixture.configure(version, keys = FIRST_KEY_ONLY)
        awaitAll("key-2", "401")
        fixture.store.restore(copy, OUTAGE_MILLIS)
        assertRefused("key-2", WINDOW_MILLIS / 2)
        fixture.store.restore(copy, OUTAGE_MILLIS)
        assertRefused("key-2", WINDOW_MILLIS / 2)
        fixture.configure(version = 9, keys = """["key-1","key-3"]""")
        awaitAll("key-3", "200")
        awaitAll("key-2", "401")
    }

    @Test
    fun `a response from an older era is ignored`() {
        start(1)
        fixture.store.restore(fixture.store.snapshot(), OUTAGE_MILLIS)
        fixture.configure(version = 6, keys = """["key-1","key-2","key-3"]""")
        awaitAll("key-3", "200")
        fixture.store.eraOverride = "1"
        fixture.configure(version = 7, keys = FIRST_KEY_ONLY)
        Thread.sleep(POLL_MILLIS * 10)
        assertTrue(status(instances.single(), "key-2") != "401")
        fixture.store.eraOverride = null
        awaitAll("key-2", "401")
    }

    @Test
    fun `a replica removed before a restore stays unused, and one missing from the copy stays in use`() {
        val newReplica = fixture.replica("r-2") { request, answer -> answer.sendComplete(request, "world") }
        start(1)
        fixture.store.remove("servers", "r-1")
        RelayFixture.awaitTrue("the removal is applied") { fixture.store.isWatchedToEnd("servers") }
        val requestsBefore = replica.requests.size
        val lostWrites = fixture.store.restore(copy, OUTAGE_MILLIS)
        val end = System.nanoTime() + WINDOW_MILLIS * NANOS_PER_MILLI
        while (System.nanoTime() < end) status(instances.single(), "key-1")
        fixture.store.replay(lostWrites)
        awaitAll("key-1", "200")
        assertEquals(requestsBefore, replica.requests.size)
        assertTrue(newReplica.requests.isNotEmpty())
    }

    @Test
    fun `an evacuated zone stays evacuated after a restore until the operator removes the evacuation`() {
        val other = fixture.replica("r-2", zone = "b") { request, answer -> answer.sendComplete(request, "world") }
        copy = fixture.store.snapshot()
        start(1)
        fixture.store.put("evacuations", "a", JsonObject(emptyMap()))
        RelayFixture.awaitTrue("no request reaches the evacuated zone") {
            val requestsBefore = replica.requests.size
            repeat(5) { status(instances.single(), "key-1") }
            replica.requests.size == requestsBefore
        }
        val requestsBefore = replica.requests.size
        val lostWrites = fixture.store.restore(copy, OUTAGE_MILLIS)
        repeat(CALLS) { status(instances.single(), "key-1") }
        fixture.store.replay(lostWrites)
        RelayFixture.awaitTrue("the repeated write is applied") { fixture.store.isWatchedToEnd("evacuations") }
        repeat(CALLS) { status(instances.single(), "key-1") }
        assertEquals(requestsBefore, replica.requests.size)
        fixture.store.remove("evacuations", "a")
        fixture.register("r-2", RelayFixture.PLAIN, other, state = "draining", zone = "b")
        RelayFixture.awaitTrue("the zone is used again") {
            status(instances.single(), "key-1").let { replica.requests.size > requestsBefore }
        }
    }

    @Test
    fun `twelve instances that watch a hub apply no older configuration and register again after a restore`() {
        start(INSTANCES)
        fixture.configure(version = 6, keys = FIRST_KEY_ONLY)
        awaitAll("key-2", "401")
        val random = Random(SEED)
        val lostWrites = fixture.store.restore(copy, OUTAGE_MILLIS)
        val writer = Thread { fixture.store.replay(lostWrites.shuffled(random), pauseMillis = REWRITE_MILLIS) }
        writer.start()
        assertRefused("key-2", WINDOW_MILLIS)
        writer.join()
        awaitAll("key-1", "200")
        fixture.configure(version = 7, keys = """["key-1","key-3"]""")
        awaitAll("key-3", "200")
        RelayFixture.awaitTrue("all instances are registered again") {
            fixture.store.names("entry-instances").size == INSTANCES
        }
    }

    private companion object {
        const val KEYS = """["key-1","key-2"]"""
        const val FIRST_KEY_ONLY = """["key-1"]"""
        const val INSTANCES = 12
        const val SEED = 7
        const val CALLS = 10
        const val OUTAGE_MILLIS = 300L

        /** The copy is listed so late that treating it as current would accept the key beyond the revocation bound. */
        const val LONG_OUTAGE_MILLIS = 1_500L
        const val LISTING_MILLIS = 500L

        /** Delay until the operator repeats lost writes after a restore. */
        const val REWRITE_MILLIS = 1_000L
        const val WINDOW_MILLIS = 2_500L
        const val POLL_MILLIS = 50L

        /** The revocation bound in the settings of the fixture. */
        const val REVOKE_MILLIS = 5_000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
