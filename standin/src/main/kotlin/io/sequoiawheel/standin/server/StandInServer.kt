/*
 * Base of the stand-ins' HTTP servers. A server binds only the loopback address, starts and stops in-process, and
 * accepts faults to inject at `PUT /faults`. A stopped stand-in accepts none; it runs again after its configured
 * downtime or a call of `start`.
 */
package io.sequoiawheel.standin.server

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * HTTP server of one stand-in.
 *
 * @param requestedPort the port to bind, or 0 for any free port; a restart binds the same port again
 */
abstract class StandInServer(
    private val requestedPort: Int,
) {
    /** The simulated network link, for injecting faults in-process. */
    val link = Link()

    /** Monotonic clock for the models. */
    protected val clock = Clock { System.nanoTime() / NANOS_PER_MILLI }

    private val lifecycle = Mutex()
    private val lifecycleScope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private var engine: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null

    /** The bound port; valid after [start]. */
    @Volatile
    var port: Int = requestedPort
        private set

    /** Whether the server accepts connections. */
    @Volatile
    var running: Boolean = false
        private set

    /** Number of times the server was started. */
    @Volatile
    var starts: Int = 0
        private set

    /** `host:port` of the server; valid after [start]. */
    val address: String get() = "$LOOPBACK:$port"

    /** The base URL of the server; valid after [start]. */
    val baseUrl: String get() = "http://$address"

    /** Binds the port and serves until [stop]; has no effect if the server is already running. */
    suspend fun start() =
        lifecycle.withLock {
            if (engine != null) return@withLock
            onStart()
            val server =
                embeddedServer(CIO, configure = {
                    connector {
                        host = LOOPBACK
                        port = this@StandInServer.port
                    }
                }) {
                    intercept(ApplicationCallPipeline.Plugins) { if (!applyLinkFaults(call)) finish() }
                    routing {
                        put("/faults") { handleFaultOrder(call) }
                        routes()
                    }
                }
            server.startSuspend(wait = false)
            port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            engine = server
            starts++
            running = true
        }

    /** Closes all connections immediately and unbinds the port; has no effect if the server is not running. */
    suspend fun stop() =
        lifecycle.withLock {
            val server = engine ?: return@withLock
            running = false
            engine = null
            link.cutConnections()
            onStop()
            server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MILLIS)
        }

    /** Stops the server permanently and cancels a pending restart. */
    suspend fun close() {
        lifecycleScope.cancel()
        stop()
    }

    /** Simulates a crash of the process, followed by a restart after [downMillis] unless that is negative. */
    fun crash(downMillis: Long) {
        lifecycleScope.launch {
            stop()
            if (downMillis >= 0) {
                delay(downMillis)
                start()
            }
        }
    }

    /** Declares the routes of the stand-in's protocol. */
    protected abstract fun Routing.routes()

    /** Applies the faults of the model. Returns null, or an error message if they are not supported. */
    protected open suspend fun applyFaults(faults: FaultOrder): String? =
        if (faults.hasModelFaults) UNSUPPORTED_FAULTS else null

    /** Called before the port is bound. */
    protected open suspend fun onStart() = Unit

    /** Called before the connections are closed. */
    protected open suspend fun onStop() = Unit

    /** Sends a JSON response, or aborts the connection if the answer is to be lost. */
    protected suspend fun respondJson(
        call: ApplicationCall,
        body: String,
        status: HttpStatusCode = HttpStatusCode.OK,
        headers: Map<String, String> = emptyMap(),
    ) {
        link.awaitNotStalled()
        if (link.consumeAnswerLoss()) return abortConnection()
        headers.forEach { (name, value) -> call.response.header(name, value) }
        call.respondText(body, ContentType.Application.Json, status)
    }

    /** Aborts the connection of the current call without a response. */
    protected suspend fun abortConnection() {
        currentCoroutineContext().cancel(CancellationException("connection aborted by an injected fault"))
        awaitCancellation()
    }

    private suspend fun applyLinkFaults(call: ApplicationCall): Boolean {
        if (call.request.path() == "/faults") return true
        link.awaitDelay()
        if (!link.faults.value.outage) return true
        call.respondText("{}", ContentType.Application.Json, HttpStatusCode.ServiceUnavailable)
        return false
    }

    private suspend fun handleFaultOrder(call: ApplicationCall) {
        val errorMessage =
            try {
                applyOrder(json.decodeFromString(FaultOrder.serializer(), call.receiveText()))
            } catch (error: SerializationException) {
                error.message
            }
        val status = if (errorMessage == null) HttpStatusCode.NoContent else HttpStatusCode.BadRequest
        call.respondText(errorMessage.orEmpty(), status = status)
    }

    private suspend fun applyOrder(faults: FaultOrder): String? {
        applyFaults(faults)?.let { return it }
        faults.link?.let { linkFaults ->
            logger.info { "link faults of $address: $linkFaults" }
            link.applyFaults(linkFaults)
            linkFaults.dieForMillis?.let(::crash)
        }
        return null
    }

    companion object {
        /** The address that every stand-in binds. */
        const val LOOPBACK = "127.0.0.1"

        /** The JSON format of the stand-ins' protocols; unknown fields are errors. */
        @JvmStatic
        protected val json = Json { encodeDefaults = true }

        /** Error message for faults of a component that this stand-in does not have. */
        const val UNSUPPORTED_FAULTS = "the order has a part that this stand-in does not have"

        private const val NANOS_PER_MILLI = 1_000_000L
        private const val STOP_TIMEOUT_MILLIS = 200L
        private val logger = KotlinLogging.logger {}
    }
}
