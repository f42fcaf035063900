/*
 * HTTP servers over the models. A server binds a loopback address only, starts and stops in-process, and takes orders
 * for faults at `PUT /faults`. A dead stand-in takes no orders; it comes back by itself or by `start`.
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
 * One stand-in.
 *
 * @param requestedPort the port to bind, or 0 for any free one; a restart binds the same port again
 */
abstract class StandInServer(
    private val requestedPort: Int,
) {
    /** The state of the link, for faults ordered in-process. */
    val link = Link()

    /** Real time for the models. */
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

    /** How often the server has been started. */
    @Volatile
    var starts: Int = 0
        private set

    /** `host:port` of the server; valid after [start]. */
    val address: String get() = "$LOOPBACK:$port"

    /** The base URL of the server; valid after [start]. */
    val baseUrl: String get() = "http://$address"

    /** Binds the port and serves until [stop]; does nothing if it already serves. */
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
                    intercept(ApplicationCallPipeline.Plugins) { if (!passLink(call)) finish() }
                    routing {
                        put("/faults") { orderFaults(call) }
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

    /** Ends all connections at once and frees the port; does nothing if it does not serve. */
    suspend fun stop() =
        lifecycle.withLock {
            val server = engine ?: return@withLock
            running = false
            engine = null
            link.cutConnections()
            onStop()
            server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MILLIS)
        }

    /** Stops for good, also if a restart is pending. */
    suspend fun close() {
        lifecycleScope.cancel()
        stop()
    }

    /** Ends the process of the stand-in, and starts it again after [downMillis] unless that is negative. */
    fun die(downMillis: Long) {
        lifecycleScope.launch {
            stop()
            if (downMillis >= 0) {
                delay(downMillis)
                start()
            }
        }
    }

    /** Declares the routes of the protocol. */
    protected abstract fun Routing.routes()

    /** Puts the model's part of an order in force. Returns null, or what is wrong with the order. */
    protected open suspend fun order(faults: FaultOrder): String? = if (faults.hasModelPart) UNKNOWN_PART else null

    /** Called before the port is bound. */
    protected open suspend fun onStart() = Unit

    /** Called before the connections end. */
    protected open suspend fun onStop() = Unit

    /** Sends a JSON answer, or loses it if a lost answer is due. */
    protected suspend fun answer(
        call: ApplicationCall,
        body: String,
        status: HttpStatusCode = HttpStatusCode.OK,
        headers: Map<String, String> = emptyMap(),
    ) {
        link.awaitFlow()
        if (link.losesAnswer()) return breakConnection()
        headers.forEach { (name, value) -> call.response.header(name, value) }
        call.respondText(body, ContentType.Application.Json, status)
    }

    /** Ends the connection of the current call without an answer. */
    protected suspend fun breakConnection() {
        currentCoroutineContext().cancel(CancellationException("the connection is cut by order"))
        awaitCancellation()
    }

    private suspend fun passLink(call: ApplicationCall): Boolean {
        if (call.request.path() == "/faults") return true
        link.awaitPassage()
        if (!link.faults.value.outage) return true
        call.respondText("{}", ContentType.Application.Json, HttpStatusCode.ServiceUnavailable)
        return false
    }

    private suspend fun orderFaults(call: ApplicationCall) {
        val problem =
            try {
                accept(json.decodeFromString(FaultOrder.serializer(), call.receiveText()))
            } catch (error: SerializationException) {
                error.message
            }
        val status = if (problem == null) HttpStatusCode.NoContent else HttpStatusCode.BadRequest
        call.respondText(problem.orEmpty(), status = status)
    }

    private suspend fun accept(faults: FaultOrder): String? {
        order(faults)?.let { return it }
        faults.link?.let { ordered ->
            logger.info { "link faults of $address: $ordered" }
            link.order(ordered)
            ordered.dieForMillis?.let(::die)
        }
        return null
    }

    companion object {
        /** The address that every stand-in binds. */
        const val LOOPBACK = "127.0.0.1"

        /** The JSON format of the stand-ins' protocols; unknown fields are errors. */
        @JvmStatic
        protected val json = Json { encodeDefaults = true }

        /** The answer to an order for a part that this stand-in does not have. */
        const val UNKNOWN_PART = "the order has a part that this stand-in does not have"

        private const val NANOS_PER_MILLI = 1_000_000L
        private const val STOP_TIMEOUT_MILLIS = 200L
        private val logger = KotlinLogging.logger {}
    }
}
