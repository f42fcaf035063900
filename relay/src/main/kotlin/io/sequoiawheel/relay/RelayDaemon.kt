/*
 * An entry instance, which relays requests between callers and backend servers. All state is confined to one event
 * loop, whose coroutines run one at a time, so no locks are needed. No state outlives the process.
 */
package io.sequoiawheel.relay

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.relay.ConfigurationOrder
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.HubSelection
import io.sequoiawheel.core.relay.HubTiming
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.ReplicaSelection
import io.sequoiawheel.core.relay.RequestKind
import io.sequoiawheel.core.relay.StartInquiry
import io.sequoiawheel.core.relay.StoreContact
import io.sequoiawheel.core.relay.StoreEras
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.BackendPool
import io.sequoiawheel.relay.backend.Connector
import io.sequoiawheel.relay.backend.ResponseMemory
import io.sequoiawheel.relay.control.ChangeFeed
import io.sequoiawheel.relay.control.ChangeHub
import io.sequoiawheel.relay.control.ChangeSources
import io.sequoiawheel.relay.control.ConfigurationController
import io.sequoiawheel.relay.control.EvacuationController
import io.sequoiawheel.relay.control.KindListener
import io.sequoiawheel.relay.control.KindWatcher
import io.sequoiawheel.relay.control.LoopSupervisor
import io.sequoiawheel.relay.control.PeerController
import io.sequoiawheel.relay.control.ReplicaController
import io.sequoiawheel.relay.control.Rollouts
import io.sequoiawheel.relay.control.StoreClient
import io.sequoiawheel.relay.filter.ConfigurationFilter
import io.sequoiawheel.relay.filter.DeadlineFilter
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.filter.FilterChain
import io.sequoiawheel.relay.filter.OTHER_INSTANCE_RETRY_MILLIS
import io.sequoiawheel.relay.filter.OutcomeFilter
import io.sequoiawheel.relay.filter.RouteFilter
import io.sequoiawheel.relay.filter.ShutdownFilter
import io.sequoiawheel.relay.filter.WorkspaceFilter
import io.sequoiawheel.relay.http.CallerConnections
import io.sequoiawheel.relay.http.CallerLimitSettings
import io.sequoiawheel.relay.http.CallerLimits
import io.sequoiawheel.relay.http.CallerServer
import io.sequoiawheel.relay.http.StatusResponse
import io.sequoiawheel.relay.http.StatusServer
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import io.sequoiawheel.relay.internal.SlowReaderLog
import io.sequoiawheel.relay.serving.CallRelay
import io.sequoiawheel.relay.serving.GenerationRelay
import io.sequoiawheel.relay.serving.QuarantineLog
import io.sequoiawheel.relay.serving.RelayContext
import io.sequoiawheel.relay.serving.ReplicaGauges
import io.sequoiawheel.relay.serving.ReplicaNotices
import io.sequoiawheel.relay.serving.RunOutcomes
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.Callable

class RelayDaemon(
    private var settings: InstanceSettings,
    private val metricsPort: Int? = null,
    private val monotonic: Clock = Clock { System.nanoTime() / NANOS_PER_MILLI },
    wall: Clock = Clock { System.currentTimeMillis() },
    callerLimits: CallerLimitSettings = CallerLimitSettings(),
    onMemoryExhausted: () -> Unit = {},
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val eventLoop: EventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + eventLoop.asCoroutineDispatcher())
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create()
    private val log = DecisionLog(monotonic)
    internal val metrics = RelayMetrics()
    private val connector = Connector(eventLoop, monotonic)
    private val eras = StoreEras(monotonic)
    private val store = StoreClient(connector, eras, ::onStoreRestored) { settings.store }
    private val freshness = Freshness(monotonic, wall, (settings.bounds.revokeMillis * FRESH_SHARE).toLong())
    private val contact = StoreContact(monotonic)
    private val directory =
        ReplicaDirectory(monotonic, coldPhase = random.nextDouble(), sinceOutageMillis = contact::sinceOutageMillis)
    private val self = Peer(settings.name, settings.zone, Endpoint(settings.host, settings.peerPorts.first))
    private val quarantine = PartQuarantine(settings.name, monotonic, QuarantineLog(log, metrics))
    private val order = ConfigurationOrder(monotonic, StartInquiry(monotonic))
    private val loads = LoadExchange(self, start = wall.nowMillis(), monotonic, quarantine, order)
    private val outcomes = RunOutcomes(monotonic, quarantine, log, metrics)
    private val notices = ReplicaNotices(log, metrics, outcomes)
    private val pool = BackendPool(connector, notices::onResponseHead, notices::onUnexpectedBytes)
    private val configuration = ConfigurationController(store, freshness, order, scope, log)
    private val replicas = ReplicaController(directory, log, metrics) { rollouts?.gate?.observe(directory.all()) }
    private val evacuations = EvacuationController(directory, log)
    private val rollouts =
        settings.bounds.rollout?.let {
            Rollouts(it, directory, loads, freshness, store, scope, random, monotonic, wall, log, metrics)
        }
    private val context =
        RelayContext(
            monotonic,
            directory,
            ReplicaSelection(settings.zone, random) { loads.knowsStarts },
            pool,
            log,
            metrics,
            random,
            settings,
            fleet = loads,
            quarantine,
            outcomes,
            rollouts?.gate,
        )
    private val peers =
        PeerController(self, directory, loads, store, random, log, metrics, rollouts?.controller)
            .also { context.onGenerationStart = it::announceStart }
    private val hubSelection = HubSelection(settings.name, settings.zone, monotonic, random, loads::live)
    private val sources = ChangeSources(store, connector, hubSelection, eras, log)
    private val feeds =
        (BASIC_KINDS + listOfNotNull(rollouts?.let { StoreKind.ROLLOUTS })).associateWith(::ChangeFeed)
    private val changeHub = ChangeHub(feeds, hubSelection, freshness) { configurationWatcher.refresh() }
    private val longWatchers =
        listOfNotNull(
            watcher(StoreKind.REPLICAS, LONG_WAIT_MILLIS, replicas) {},
            watcher(StoreKind.EVACUATIONS, LONG_WAIT_MILLIS, evacuations) {},
            rollouts?.let { watcher(StoreKind.ROLLOUTS, LONG_WAIT_MILLIS, it.controller) {} },
        )
    private val configurationWatcher =
        watcher(StoreKind.CONFIGURATION, configurationWaitMillis(), configuration) {
            longWatchers.forEach { it.interrupt() }
        }
    private val watchers = longWatchers + configurationWatcher
    private val loops = LoopSupervisor(scope, monotonic, random, log, metrics, { store.reading }, onMemoryExhausted)
    private val shutdown = InstanceShutdown(monotonic, log, ::graceMillis)
    private val calls = CallRelay(context)
    private val generations = GenerationRelay(context, scope, shutdown::remainingMillis)
    private val filters =
        FilterChain(
            listOf(
                OutcomeFilter(monotonic, log, metrics),
                ConfigurationFilter { configuration.current.takeIf { isInitialized } },
                RouteFilter(),
                WorkspaceFilter(configuration::awaitFresh) { configuration.current },
                DeadlineFilter(monotonic),
                ShutdownFilter(monotonic, shutdown::remainingMillis),
            ),
            ::relay,
        )
    private var registration: Job? = null
    private val requests = RequestService(monotonic, filters, shutdown, log, metrics) { configuration.current }
    private val responseMemory =
        ResponseMemory(
            monotonic,
            ResponseMemory.totalBytes(settings.limits.memoryBytes),
            SlowReaderLog(log, metrics)::record,
        )
    private val callerConnections =
        CallerConnections(
            monotonic,
            responseMemory,
            CallerLimits.of(settings.limits, Runtime.getRuntime().maxMemory(), callerLimits),
        )
    private val server = CallerServer(eventLoop, scope, requests, callerConnections)

    /** The port on which the instance accepts callers; valid after [start]. */
    var callerPort = settings.callers.port
        private set

    /** Whether the instance reports to the load balancer that it is ready. */
    val isReady: Boolean
        get() = !shutdown.isLeaving && !loops.isExhausted && isInitialized && isConfigurationRecent()

    /** Number of live instances, including this one. Must not be read on the event loop. */
    internal val liveInstances: Int get() = onEventLoop { loads.liveCount() }

    /**
     * Whether the other instances are known; until then this instance uses a single retry per window. Must not be read
     * on the event loop.
     */
    internal val knowsInstances: Boolean get() = onEventLoop { loads.isKnown }

    /** Whether all kinds were read from the store, and the configuration is not known to be outdated. */
    private val isInitialized: Boolean
        get() = configuration.current != null && !configuration.isOutdated && longWatchers.all { it.isListed }

    /** Starts the listeners and the watches of the platform's store. */
    suspend fun start() =
        withContext(scope.coroutineContext) {
            log.lifecycle(
                "started",
                mapOf("instance" to settings.name, "zone" to settings.zone.value, "store" to settings.store.toString()),
            )
            watchers.forEach { watcher -> loops.start("watch ${watcher.kind}") { watcher.run() } }
            callerPort = server.start(settings.callers, MAXIMUM_HEADER_BYTES)
            val statusServer = StatusServer(eventLoop, scope) { status(it.substringBefore('?')) }
            statusServer.start(settings.readiness)
            metricsPort?.let { statusServer.start(Endpoint(settings.host, it)) }
            StatusServer(eventLoop, scope, changeHub::handle).start(self.endpoint)
            publishGauges()
            peers.start(eventLoop)
            register()
            loops.start("load reports") { peers.report() }
            loops.start("maintenance") { maintain() }
            loops.start("traffic log") { logTraffic() }
            Unit
        }

    /** Applies settings that changed while the process is running. */
    fun reload(newSettings: InstanceSettings) {
        eventLoop.execute {
            settings = newSettings
            log.lifecycle("reloaded", mapOf("instance" to newSettings.name, "store" to newSettings.store.toString()))
        }
    }

    /** Logs that changed settings could not be read, so that the settings in force stay. */
    fun reportUnreadableSettings(detail: String?) {
        eventLoop.execute { log.lifecycle("settings unreadable, kept", mapOf("detail" to detail)) }
    }

    /** Shuts the instance down: returns when all connections are closed or the grace period is over. */
    suspend fun leave() =
        withContext(scope.coroutineContext) {
            shutdown.start(server.connectionCount, requests.inProgress)
            scope.launch { peers.deregister() }
            shutdown.complete(server, requests)
            generations.awaitStops((shutdown.remainingMillis() ?: 0).coerceIn(MINIMUM_STOP_MILLIS, MAXIMUM_STOP_MILLIS))
        }

    /** Cancels all coroutines and shuts down the event loop. */
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun <T> onEventLoop(read: () -> T): T = eventLoop.submit(Callable { read() }).get()

    /**
     * Registers the instance in the store. Called again after the store was restored from an older copy, which may lack
     * the entry.
     */
    private fun register() {
        registration?.cancel()
        registration =
            loops.start("registration") {
                peers.register()
                sources.completePeerDiscovery()
            }
    }

    private fun onStoreRestored() {
        metrics.count("store.eras", "new")
        log.dependency("store restored from an older copy", mapOf("era" to eras.current))
        watchers.forEach { it.interrupt() }
        register()
    }

    private fun <T : Any> watcher(
        kind: StoreKind,
        waitMillis: Long,
        listener: KindListener<T>,
        onFailure: () -> Unit,
    ) = KindWatcher(
        sources,
        feeds.getValue(kind),
        waitMillis,
        listener,
        freshness,
        HubTiming.of(settings.bounds),
        contact,
        random,
        log,
        onFailure,
    )

    private suspend fun relay(exchange: Exchange) {
        val route = checkNotNull(exchange.route)
        val service = exchange.configuration?.let { context.chooseService(route, it) }
        exchange.releaseConfiguration()
        if (service == null) {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.NO_REPLICA,
                "the service of the route is not defined",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        exchange.logFields["service"] = service.name.value
        rollouts?.gate?.recordRequest(service.name)
        if (route.kind == RequestKind.STREAM) generations.relay(exchange, service) else calls.relay(exchange, service)
    }

    private fun status(path: String): StatusResponse {
        if (path == METRICS_PATH) return StatusResponse(HttpResponseStatus.OK, metrics.scrape())
        return StatusResponse(if (isReady) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    private fun isConfigurationRecent() =
        freshness.isInvalidated() || freshness.ageMillis() <= settings.bounds.revokeMillis * READY_SHARE

    private fun configurationWaitMillis() =
        minOf(CONFIGURATION_WAIT_MILLIS, (settings.bounds.revokeMillis * CONFIGURATION_WAIT_SHARE).toLong())

    private fun graceMillis(): Long = (settings.bounds.graceSeconds * MILLIS_PER_SECOND).toLong() - GRACE_MARGIN_MILLIS

    private fun publishGauges() {
        callerConnections.publishGauges(metrics)
        metrics.gauge("requests.in.progress") { requests.inProgress }
        metrics.gauge("store.calls") { store.calls.values.sum() }
        metrics.gauge("connections.opened") { pool.opened }
        metrics.gauge("connections.passed.over") { pool.passedOver }
        metrics.gauge("configuration.version") { configuration.current?.version ?: 0 }
        metrics.gauge("configuration.age.milliseconds") { freshness.ageMillis() }
        metrics.gauge("store.history.bytes") { feeds.values.sumOf { it.sizeBytes } }
        ReplicaGauges.publish(metrics, directory)
        metrics.gauge("parts.quarantined") { quarantine.quarantined.size }
        metrics.gauge("replicas.unreadable") { replicas.unreadableCount }
        metrics.gauge("store.kinds.unfollowed") { watchers.count { !it.isFollowed } }
        metrics.gauge("objects.failed") { watchers.sumOf { it.failedObjects } }
        metrics.gauge("store.era") { eras.current ?: 0 }
        metrics.gauge("instances.live") { liveInstances }
        rollouts?.controller?.publishGauges()
        metrics.gauge("peer.datagrams.sent") { peers.datagramsSent }
        metrics.gauge("peer.bytes.sent") { peers.bytesSent }
    }

    /**
     * Logs regularly how many calls and datagrams the instance sent, so that the load of a whole day can be computed.
     */
    private suspend fun logTraffic() {
        while (true) {
            delay(TRAFFIC_LOG_INTERVAL_MILLIS)
            log.stateChange(
                "calls to the store",
                store.calls + mapOf("peerDatagrams" to peers.datagramsSent, "peerBytes" to peers.bytesSent),
            )
        }
    }

    private suspend fun maintain() {
        while (true) {
            delay(MAINTENANCE_INTERVAL_MILLIS)
            freshness.observe()
            pool.evictIdle(directory.all().filterTo(HashSet()) { !it.isLeaving })
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        val BASIC_KINDS = listOf(StoreKind.CONFIGURATION, StoreKind.REPLICAS, StoreKind.EVACUATIONS)
        const val MILLIS_PER_SECOND = 1_000
        const val METRICS_PATH = "/metrics"

        /**
         * Share of the revocation bound after which keys are no longer accepted; the rest allows for a late watch
         * response.
         */
        const val FRESH_SHARE = 0.78

        /**
         * Share of the revocation bound after which the instance reports itself as not ready, so callers use other
         * instances.
         */
        const val READY_SHARE = 0.6

        /** Each watch response confirms the configuration as current, well within the share for readiness. */
        const val CONFIGURATION_WAIT_MILLIS = 2_400L

        /** Limits the wait to this share of a short revocation bound; wait and response stay below [READY_SHARE]. */
        const val CONFIGURATION_WAIT_SHARE = 0.5

        /**
         * A change ends a wait at once, so longer waits only save calls. The watch of the configuration detects an
         * unreachable store, and keep-alive probes detect an unresponsive connection.
         */
        const val LONG_WAIT_MILLIS = 20_000L

        /** Decoders are created before the first configuration states its limits. */
        const val MAXIMUM_HEADER_BYTES = 16_384

        /** Part of [GRACE_MARGIN_MILLIS] in which runs that were left at the deadline are stopped. */
        const val MINIMUM_STOP_MILLIS = 250L

        /** A replica that refuses to stop a run for longer is left to the deadline of the run. */
        const val MAXIMUM_STOP_MILLIS = 1_000L

        /** Time that the process needs to exit after the last response. */
        const val GRACE_MARGIN_MILLIS = 500L

        const val MAINTENANCE_INTERVAL_MILLIS = 100L

        /** One line every ten seconds is far below the limit of the log. */
        const val TRAFFIC_LOG_INTERVAL_MILLIS = 10_000L
    }
}
