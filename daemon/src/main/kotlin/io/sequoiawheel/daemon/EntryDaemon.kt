package io.sequoiawheel.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.serving.CallRunner
import io.sequoiawheel.core.serving.GenerationRunner
import io.sequoiawheel.core.stream.ResumeHandle
import io.sequoiawheel.core.stream.ResumeHandleCodec
import io.sequoiawheel.daemon.control.ControlPlane
import io.sequoiawheel.daemon.control.EngineOrderController
import io.sequoiawheel.daemon.control.RegistryClaims
import io.sequoiawheel.daemon.control.ServiceRetryBudgets
import io.sequoiawheel.daemon.control.supervise
import io.sequoiawheel.daemon.gateway.BackendClient
import io.sequoiawheel.daemon.gateway.HttpEngineGateway
import io.sequoiawheel.daemon.gateway.HttpEngineOrders
import io.sequoiawheel.daemon.gateway.HttpPlainGateway
import io.sequoiawheel.daemon.http.CallHandler
import io.sequoiawheel.daemon.http.CallerServer
import io.sequoiawheel.daemon.http.ConcurrencyFilter
import io.sequoiawheel.daemon.http.DaemonMetrics
import io.sequoiawheel.daemon.http.DeadlineFilter
import io.sequoiawheel.daemon.http.GenerationHandler
import io.sequoiawheel.daemon.http.HeaderLimitFilter
import io.sequoiawheel.daemon.http.RequestLogFilter
import io.sequoiawheel.daemon.http.RequestReader
import io.sequoiawheel.daemon.http.ResponseFilter
import io.sequoiawheel.daemon.http.ResumeHandler
import io.sequoiawheel.daemon.http.ServiceFilter
import io.sequoiawheel.daemon.http.ShutdownFilter
import io.sequoiawheel.daemon.http.WorkspaceFilter
import io.sequoiawheel.daemon.http.wrap
import io.sequoiawheel.daemon.settings.DaemonSettings
import io.sequoiawheel.objectapi.HttpInstanceList
import io.sequoiawheel.objectapi.HttpObjectApi
import io.sequoiawheel.objectapi.HttpWeightStore
import io.sequoiawheel.objectapi.PlatformTransport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.apache.commons.rng.simple.ThreadLocalRandomSource
import java.util.Base64
import java.util.UUID

/**
 * An entry instance: the HTTP server for callers and the controllers behind it. It can be started only once. [leave]
 * shuts it down gracefully, [close] immediately.
 */
class EntryDaemon(
    private val settings: DaemonSettings,
) : AutoCloseable {
    private val clock = Clock { System.nanoTime() / NANOS_PER_MILLI }
    private val random = UniformRandomProvider { ThreadLocalRandomSource.current(RANDOM_SOURCE).nextLong() }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = DaemonMetrics(registry)
    private val transport = PlatformTransport(settings.platform, clock)
    private val objects = HttpObjectApi(settings.platform.objectApi, transport)
    private val instances = HttpInstanceList(settings.platform.instanceList, transport)
    private val backends = BackendClient()
    private val engines = HttpEngineGateway(backends)
    private val services = HttpPlainGateway(backends)

    /** The port that callers connect to, once [start] has succeeded. */
    var port: Int = settings.listen.port
        private set
    private val weights = HttpWeightStore(settings.platform.weightStore, transport)
    private val orders = EngineOrderController(HttpEngineOrders(backends), weights, clock, ::readLoad)
    private val control =
        ControlPlane(ownInstance(settings.peer.port), objects, instances, scope, clock, random, orders, ::readLoad)
    private val membership = control.membership
    private val documents = control.configuration
    private val placement = control.placement
    private val retries = ServiceRetryBudgets(clock, random)
    private val generations = GenerationRunner(engines, placement, retries, clock, scope, ::uniqueId)
    private val claims =
        ClaimRegistry(
            api = objects,
            instance = settings.instanceId,
            wallClock = { System.currentTimeMillis() },
            isLive = ::isListedEntry,
            newClaimId = { UUID.randomUUID().toString() },
        )
    private val calls =
        CallRunner(
            services,
            placement,
            retries,
            RegistryClaims(claims),
            clock,
            scope,
            ::uniqueId,
        )
    private val shutdownFilter = ShutdownFilter()
    private val server = CallerServer(settings, clock, createChains(), registry, ::unreadyReason)

    /** Starts the servers and the background tasks, or returns `BIND_FAILED`. */
    suspend fun start(): Either<Failure, Unit> {
        try {
            control.bind()
            port = server.start()
        } catch (error: Exception) {
            val addresses = "${ownInstance().peerAddress} and ${ownInstance().address}"
            return Failure(ResultCode.BIND_FAILED, "cannot listen on $addresses: ${error.message}").left()
        }
        metrics.gauge("sequoiawheel.requests.in.progress") { shutdownFilter.requestsInProgress }
        metrics.gauge("sequoiawheel.requests.waiting") { placement.waitingCount }
        metrics.gauge("sequoiawheel.claims.pending") { claims.pendingWriteCount }
        control.start()
        scope.supervise("registration") { registerPeriodically() }
        scope.supervise("claims") { claims.retryPendingWrites() }
        logger.info { "entry instance ${settings.instanceId} listens on ${settings.listen.host}:$port" }
        return Unit.right()
    }

    /** Rejects new requests, waits without a time limit for the requests in progress, then closes. */
    suspend fun leave() {
        shutdownFilter.beginShutdown()
        control.leave()
        instances.register(ownInstance().copy(state = Instance.State.LEAVING))
        shutdownFilter.awaitDrained()
        generations.abandoned.awaitEmpty()
        calls.awaitSettled()
        server.stop()
        instances.remove(settings.instanceId)
        close()
    }

    /** Stops immediately and aborts the requests in progress. */
    override fun close() {
        scope.cancel()
        server.stopNow()
        control.close()
        backends.close()
        transport.close()
    }

    // Repeats the registration, because the platform's instance list may need it again after an outage of its own.
    private suspend fun registerPeriodically() {
        while (true) {
            val state = if (shutdownFilter.isLeaving) Instance.State.LEAVING else Instance.State.LIVE
            instances.register(ownInstance().copy(state = state))
            delay(REGISTER_INTERVAL_MILLIS)
        }
    }

    private fun ownInstance(peerPort: Int = control.port) =
        Instance(
            id = settings.instanceId,
            role = Instance.Role.ENTRY,
            zone = settings.zone,
            region = settings.region,
            address = "${settings.listen.host}:$port",
            peerAddress = "${settings.peer.host}:$peerPort",
        )

    private fun uniqueId(requestId: RequestId) = RequestId("${requestId.value}.${UUID.randomUUID()}")

    private fun unreadyReason(): String? =
        when {
            shutdownFilter.isLeaving -> "leaving"
            !documents.isKnown -> "no configuration"
            membership.viewAgeMillis(clock.nowMillis()) == null -> "no instance list"
            else -> null
        }

    private fun createChains(): CallerServer.HandlerChains {
        val handles = ResumeHandleCodec(Base64.getDecoder().decode(settings.resumeKey))
        val reader = RequestReader(settings.limits.bodyBytes)
        val concurrency = ConcurrencyFilter(settings.limits.requests)
        val commonFilters =
            listOf(
                shutdownFilter,
                ResponseFilter,
                RequestLogFilter(metrics, clock),
                ShutdownFilter.RejectWhenLeaving,
                HeaderLimitFilter(settings.limits.headerBytes),
                WorkspaceFilter,
                DeadlineFilter(clock),
            )
        val serviceFilters = commonFilters + ServiceFilter(documents)
        val generation =
            GenerationHandler(generations, handles, reader, clock, settings.limits.wholeAnswerBytes)
        val resume = ResumeHandler(generations, handles, documents, ::findReplica)
        val call = CallHandler(calls, reader, clock)
        return CallerServer.HandlerChains(
            generation = (serviceFilters + concurrency).wrap(generation::handle),
            resume = commonFilters.wrap(resume::handle),
            call = (serviceFilters + concurrency).wrap(call::run),
            outcome = serviceFilters.wrap(call::outcome),
        )
    }

    private fun isListedEntry(id: InstanceId): Boolean =
        id == settings.instanceId || membership.listed().any { it.id == id && it.role == Instance.Role.ENTRY }

    private suspend fun readLoad(
        replica: Instance,
        document: ServiceDocument,
    ): LoadReport? {
        val isEngine = document.kind == ServiceDocument.Kind.MODEL_ENGINE
        return (if (isEngine) engines.load(replica) else services.load(replica)).getOrNull()
    }

    private fun findReplica(handle: ResumeHandle): Instance? =
        membership.replicas(handle.service).firstOrNull { it.id == handle.replica }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val REGISTER_INTERVAL_MILLIS = 2_000L
        val RANDOM_SOURCE: RandomSource = RandomSource.XO_SHI_RO_256_PP
        val logger = KotlinLogging.logger {}
    }
}
