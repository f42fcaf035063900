package io.sequoiawheel.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.core.relay.HubTiming
import io.sequoiawheel.core.relay.StoreContact
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.Connector
import io.sequoiawheel.relay.control.ChangeFeed
import io.sequoiawheel.relay.control.ChangeSources
import io.sequoiawheel.relay.control.KindListener
import io.sequoiawheel.relay.control.KindWatcher
import io.sequoiawheel.relay.control.StoreClient
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue

/** A watcher whose listener fails for some objects. */
class KindWatcherTest {
    private val store = PlatformStoreStandIn()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val clock = Clock { System.nanoTime() / 1_000_000 }
    private val log = DecisionLog(clock)
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
    private val applied = ConcurrentLinkedQueue<String>()

    @Volatile
    private var isReadable = false

    @AfterEach
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
        store.close()
    }

    private fun watch(listener: KindListener<String>) {
        val eras = StoreEras(clock)
        val connector = Connector(eventLoop, clock)
        val client = StoreClient(connector, eras) { Endpoint("127.0.0.1", store.port) }
        val selection = HubSelection("entry-1", ZoneName("a"), clock, random) { emptyList() }
        val sources = ChangeSources(client, connector, selection, eras, log)
        sources.completePeerDiscovery()
        val freshness = Freshness(clock, { System.currentTimeMillis() }, FRESH_MILLIS)
        val feed = ChangeFeed(StoreKind.REPLICAS)
        val timing = HubTiming(HUB_WAIT_MILLIS, HUB_AGE_MILLIS)
        val contact = StoreContact(clock)
        val watcher = KindWatcher(sources, feed, WAIT_MILLIS, listener, freshness, timing, contact, random, log)
        scope.launch { watcher.run() }
    }

    private fun put(name: String) = store.put("servers", name, JsonObject(emptyMap()))

    // The first object that failed ended the watcher, and the objects behind it were lost with it.
    @Test
    fun `a change that cannot be applied does not lose the other changes of the same response`() {
        watch(RecordingListener(applied, fails = { it.startsWith("odd") }, listed = { applied += "listed" }))
        RelayFixture.awaitTrue("the kind is watched") { "listed" in applied && store.isWatchedToEnd("servers") }
        for (name in listOf("odd-1", "r-1", "odd-2", "r-2")) put(name)
        RelayFixture.awaitTrue("the other changes are applied") { applied.containsAll(listOf("r-1", "r-2")) }
        put("r-3")
        RelayFixture.awaitTrue("later changes are applied") { "r-3" in applied }
    }

    // All changes of a response were held until it was complete, whatever their number.
    @Test
    fun `a response that changes more objects than are held is replaced by a listing`() {
        watch(RecordingListener(applied, listed = { applied += "listed $it" }))
        RelayFixture.awaitTrue("the kind is watched") { "listed 0" in applied && store.isWatchedToEnd("servers") }
        store.isDown = true
        repeat(MANY_CHANGES) { put("r-$it") }
        store.isDown = false
        RelayFixture.awaitTrue("the objects are listed") { "listed $MANY_CHANGES" in applied }
        put("later")
        RelayFixture.awaitTrue("later changes are applied") { "later" in applied }
    }

    // A response with all versions of a large object took longer than a call, and grew until it was never read.
    @Test
    fun `a response that repeats large objects is replaced by a listing`() {
        watch(RecordingListener(applied, listed = { applied += "listed $it" }))
        RelayFixture.awaitTrue("the kind is watched") { "listed 0" in applied && store.isWatchedToEnd("servers") }
        store.isDown = true
        repeat(VERSIONS) { store.put("servers", "large", JsonPrimitive("$it".repeat(VERSION_BYTES))) }
        store.isDown = false
        RelayFixture.awaitTrue("the object is listed") { "listed 1" in applied }
        assertFalse("large" in applied)
        put("later")
        RelayFixture.awaitTrue("later changes are applied") { "later" in applied }
    }

    // Large objects that are not repeated are no smaller in a listing, which every instance would read again and again.
    @Test
    fun `a response with large objects is read whole`() {
        watch(RecordingListener(applied, listed = { applied += "listed $it" }))
        RelayFixture.awaitTrue("the kind is watched") { "listed 0" in applied && store.isWatchedToEnd("servers") }
        store.isDown = true
        repeat(VERSIONS) { store.put("servers", "large-$it", JsonPrimitive("x".repeat(VERSION_BYTES))) }
        store.isDown = false
        RelayFixture.awaitTrue("all are applied") { applied.count { it.startsWith("large") } == VERSIONS }
        assertEquals(listOf("listed 0"), applied.filter { it.startsWith("listed") })
    }

    // A response whose only change is not kept looked like one at the end of the wait, which confirms a later state.
    @Test
    fun `a change to an object without a readable name confirms the state as of the call`() {
        val confirmed = ConcurrentLinkedQueue<Long>()
        watch(RecordingListener(applied, confirmed = { confirmed += it.monotonicMillis }))
        RelayFixture.awaitTrue("the kind is watched") { confirmed.size == 1 && store.isWatchedToEnd("servers") }
        Thread.sleep(SETTLE_MILLIS)
        val changedAt = clock.nowMillis()
        put("x".repeat(LONG_NAME))
        RelayFixture.awaitTrue("the response is applied") { confirmed.size == 2 }
        assertTrue(confirmed.last() < changedAt) { "confirmed ${confirmed.last() - changedAt} ms after the change" }
        assertTrue(applied.isEmpty())
    }

    // The state was confirmed as current without the change, so a revoked key could have been accepted for ever.
    @Test
    fun `a state that lacks a change which cannot be applied is not confirmed`() {
        watch(
            RecordingListener(
                applied,
                fails = { it == "odd" && !isReadable },
                listed = { applied += "listed" },
                confirmed = { applied += "confirmed" },
            ),
        )
        RelayFixture.awaitTrue("the kind is watched") { "listed" in applied && store.isWatchedToEnd("servers") }
        put("odd")
        put("r-1")
        RelayFixture.awaitTrue("the other change is applied") { "r-1" in applied }
        applied.clear()
        put("r-2")
        RelayFixture.awaitTrue("a later change is applied") { "r-2" in applied }
        Thread.sleep(SETTLE_MILLIS)
        assertFalse("confirmed" in applied)
        isReadable = true
        put("odd")
        RelayFixture.awaitTrue("the state is confirmed again") { "confirmed" in applied }
    }

    private companion object {
        const val LONG_NAME = 1_000

        const val VERSIONS = 8
        const val VERSION_BYTES = 500_000

        /** More than are held of one response. */
        const val MANY_CHANGES = 5_000
        const val SEED = 30L
        const val FRESH_MILLIS = 5_000L
        const val WAIT_MILLIS = 2_000L
        const val HUB_WAIT_MILLIS = 1_000L
        const val HUB_AGE_MILLIS = 1_500L

        /** Longer than the watcher takes between a change and its confirmation. */
        const val SETTLE_MILLIS = 200L
    }
}
