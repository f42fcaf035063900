package io.sequoiawheel.relay

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.core.relay.HubTiming
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.StoreContact
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.relay.backend.Connector
import io.sequoiawheel.relay.control.ChangeFeed
import io.sequoiawheel.relay.control.ChangeSources
import io.sequoiawheel.relay.control.KindWatcher
import io.sequoiawheel.relay.control.StoreClient
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.standin.platform.LinkState
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import io.sequoiawheel.standin.platform.StoreLink
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

/** A member whose path to the store is sound, while its hub fails as [Conduct] says. */
class HubFailureTest {
    /** What the hub does with each watch. */
    enum class Conduct {
        SOUND,

        /** It does not answer, as when it is frozen or its answers are lost. */
        SILENT,

        /** It answers late, and has read nothing from the store. */
        SLOW,

        /** It answers in time, and has read nothing from the store. */
        UNCONFIRMED,
        REFUSING,
        CLOSING,
    }

    private val store = PlatformStoreStandIn()
    private val storeLink = StoreLink(store.port)
    private val hub = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private val executor = Executors.newCachedThreadPool()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val clock = Clock { System.nanoTime() / 1_000_000 }
    private val log = DecisionLog(clock)
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
    private val contact = StoreContact(clock)
    private val freshness = Freshness(clock, { System.currentTimeMillis() }, FRESH_MILLIS)
    private val applied = ConcurrentHashMap.newKeySet<String>()
    private val proofs = AtomicInteger()
    private val confirmations = AtomicInteger()
    private val watched = ConcurrentHashMap.newKeySet<StoreKind>()

    @Volatile
    private var conduct = Conduct.SOUND

    @Volatile
    private var hasHub = true

    @AfterEach
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
        hub.stop(0)
        executor.shutdownNow()
        storeLink.close()
        store.close()
    }

    private fun answer(exchange: HttpExchange) {
        val query = checkNotNull(StoreProtocol.parseWatch(exchange.requestURI.toString()))
        watched += query.kind
        val isProbe = query.kind == StoreKind.CONFIGURATION
        // The hub sees no change in this test, so that it has nothing to say about the other kind.
        val waitMillis = if (isProbe) minOf(PROOF_MILLIS, query.waitMillis) else query.waitMillis
        Thread.sleep(waitMillis)
        val current = conduct
        when (current) {
            Conduct.SILENT -> Thread.sleep(SILENCE_MILLIS)
            Conduct.SLOW -> Thread.sleep(SLOW_MILLIS)
            Conduct.CLOSING -> return exchange.close()
            Conduct.REFUSING -> return exchange.sendResponseHeaders(UNAVAILABLE, -1).also { exchange.close() }
            Conduct.SOUND, Conduct.UNCONFIRMED -> Unit
        }
        val proofMillis = if (current == Conduct.SOUND) waitMillis else -STALE_MILLIS
        val body =
            StoreProtocol
                .encodeChanges(
                    emptyList(),
                    query.revision,
                    proofMillis,
                    query.era,
                ).reduce(ByteArray::plus)
        if (isProbe && current == Conduct.SOUND) proofs.incrementAndGet()
        exchange.sendResponseHeaders(OK, body.size.toLong())
        exchange.responseBody.use { it.write(body) }
    }

    private fun startWatchers() {
        hub.executor = executor
        hub.createContext("/", ::answer)
        hub.start()
        val peer = Peer("entry-1", ZoneName("a"), Endpoint("127.0.0.1", hub.address.port))
        val eras = StoreEras(clock)
        val connector = Connector(eventLoop, clock)
        val client = StoreClient(connector, eras) { Endpoint("127.0.0.1", storeLink.port) }
        val selection = HubSelection("entry-2", ZoneName("a"), clock, random) { listOf(peer).filter { hasHub } }
        val sources = ChangeSources(client, connector, selection, eras, log)
        sources.completePeerDiscovery()
        val replicas = watcher(sources, StoreKind.REPLICAS, LONG_WAIT_MILLIS) {}
        val probe = watcher(sources, StoreKind.CONFIGURATION, CONFIGURATION_WAIT_MILLIS) { replicas.interrupt() }
        for (watcher in listOf(replicas, probe)) scope.launch { watcher.run() }
    }

    private fun watcher(
        sources: ChangeSources,
        kind: StoreKind,
        waitMillis: Long,
        onFailure: () -> Unit,
    ) = KindWatcher(
        sources,
        ChangeFeed(kind),
        waitMillis,
        RecordingListener(
            applied,
            confirmed = { if (kind == StoreKind.CONFIGURATION) confirmations.incrementAndGet() },
        ),
        freshness,
        HubTiming(PROOF_MILLIS, AGE_MILLIS),
        contact,
        random,
        log,
        onFailure,
    )

    // A hub that answered without a new proof was left after 3 s, longer than an instance may act on an old list.
    @ParameterizedTest
    @EnumSource(Conduct::class, mode = EnumSource.Mode.EXCLUDE, names = ["SOUND"])
    fun `a member applies a change within the bounds although its hub fails`(failure: Conduct) {
        startWatchers()
        RelayFixture.awaitTrue("the member watches the hub") { watched.size == 2 }
        val before = proofs.get()
        RelayFixture.awaitTrue("the hub has just proven its state") { proofs.get() > before }
        conduct = failure
        store.put("config", "main", JsonObject(emptyMap()))
        store.put("servers", "r-1", JsonObject(emptyMap()))
        Thread.sleep(BOUND_MILLIS)
        assertEquals(setOf("main", "r-1"), applied.toSet())
    }

    // The age of its own state left such a member no time for the call, so that it stayed without any source.
    @Test
    fun `a member that lost the store follows a hub that appears then`() {
        hasHub = false
        startWatchers()
        RelayFixture.awaitTrue("the member watches the store") { store.isWatchedToEnd("config") }
        store.put("config", "main", JsonObject(emptyMap()))
        RelayFixture.awaitTrue("the member applies a change") { "main" in applied }
        storeLink.state = LinkState.CUT
        Thread.sleep(LOSS_MILLIS)
        val before = confirmations.get()
        hasHub = true
        RelayFixture.awaitTrue("the hub confirms its state") { confirmations.get() > before }
    }

    private companion object {
        const val SEED = 30L
        const val OK = 200
        const val UNAVAILABLE = 503
        const val FRESH_MILLIS = 5_000L
        const val LONG_WAIT_MILLIS = 20_000L
        const val CONFIGURATION_WAIT_MILLIS = 2_400L
        const val PROOF_MILLIS = 1_000L
        const val AGE_MILLIS = 1_500L
        const val SILENCE_MILLIS = 6_000L
        const val SLOW_MILLIS = 1_700L
        const val STALE_MILLIS = 1_000L

        /** Longer than the watch of the configuration and its first repetition. */
        const val LOSS_MILLIS = 4_500L

        /** The strictest bound that the timing is derived from. */
        const val BOUND_MILLIS = 2_000L
    }
}
