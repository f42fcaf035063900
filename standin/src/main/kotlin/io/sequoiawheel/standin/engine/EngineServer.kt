/*
 * HTTP server of the simulated model engine. Generations are streamed as server-sent events, and any client can read a
 * stream again from any offset until the resume window expires. A client that disconnects does not cancel its
 * generation. If the engine crashes, its connections are closed and the port is unbound until the engine has restarted,
 * cold and with a new start id.
 */
package io.sequoiawheel.standin.engine

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.standin.server.BackendObserver
import io.sequoiawheel.standin.server.FaultOrder
import io.sequoiawheel.standin.server.StandInServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Serves one simulated model engine over HTTP.
 *
 * @param timeScale speed of the engine relative to real time; all durations of [settings] are divided by it
 * @param startsCold whether the engine is cold after the first start; after a restart it always is
 */
class EngineServer(
    private val settings: EngineSettings,
    lengths: OutputLengths,
    seed: Long,
    private val timeScale: Double = 1.0,
    startsCold: Boolean = false,
    port: Int = 0,
    private val observer: BackendObserver = BackendObserver,
) : StandInServer(port) {
    // The server keeps the port unbound during a restart, so the model itself restarts without delay.
    private val model =
        EngineModel(settings.copy(cold = settings.cold.copy(restartMillis = 0)), lengths, seed, startsCold)
    private val pendingRefusals = AtomicInteger()
    private val streams = EngineStreams(link)
    private val readers = ConcurrentHashMap<RequestId, Int>()
    private var scope = CoroutineScope(SupervisorJob())

    @Volatile
    private var hasCrashed = false

    /** Number of crashes caused by overload of the cold engine. */
    @Volatile
    var overloadCrashes: Int = 0
        private set

    /** In-process access to the engine, bypassing HTTP. */
    val driver = EngineDriver(model, clock, timeScale, ::onOverloadCrash, observer)

    override suspend fun onStart() {
        hasCrashed = false
        scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
        driver.launchIn(scope)
    }

    override suspend fun onStop() {
        scope.cancel()
        if (!hasCrashed) driver.crash()
        observer.onProcessEnd()
    }

    override fun Routing.routes() {
        post("/generations") { startGeneration(call) }
        get("/generations/{id}") { resumeGeneration(call) }
        delete("/generations/{id}") { cancelGeneration(call) }
        get("/load") { respondJson(call, json.encodeToString(LoadReport.serializer(), driver.loadReport())) }
        get("/cache-events") {
            val events = driver.cacheEvents(call.request.queryParameters["after"]?.toLongOrNull() ?: 0)
            val body = EngineWire.Events(events.map { EngineWire.Event(it.sequence, it.stored, it.evicted) })
            respondJson(call, json.encodeToString(EngineWire.Events.serializer(), body))
        }
        put("/orders/{target...}") { acceptOrder(call) }
        get("/orders") {
            val orders = driver.orders().map { EngineWire.TakenOrder(it.target, it.fencing, it.desired, it.isInEffect) }
            respondJson(call, json.encodeToString(EngineWire.Orders.serializer(), EngineWire.Orders(orders)))
        }
    }

    override suspend fun applyFaults(faults: FaultOrder): String? {
        if (faults.copy(engine = null).hasModelFaults) return UNSUPPORTED_FAULTS
        val engineFaults = faults.engine ?: return null
        if (engineFaults.turnCold) driver.turnCold()
        pendingRefusals.set(engineFaults.refuseNext)
        streams.applyFaults(engineFaults)
        return null
    }

    private suspend fun startGeneration(call: ApplicationCall) {
        val start = decode(EngineWire.Start.serializer(), call.receiveText()) ?: return badRequest(call)
        observer.onArrival(RequestId(start.id))
        if (pendingRefusals.getAndUpdate { maxOf(0, it - 1) } > 0) {
            return refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
        }
        when (driver.submit(toModelRequest(start))) {
            Submission.ACCEPTED -> stream(call, RequestId(start.id), 0)
            Submission.DUPLICATE -> respondJson(call, "{}", HttpStatusCode.Conflict)
            Submission.MODEL_NOT_LOADED -> refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
            Submission.TOO_LARGE -> refuse(call, start.id, HttpStatusCode.PayloadTooLarge)
            Submission.DOWN -> refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun resumeGeneration(call: ApplicationCall) {
        val from = call.request.queryParameters["from"]?.toIntOrNull() ?: 0
        stream(call, RequestId(call.parameters["id"].orEmpty()), from)
    }

    /** With `unattended=true`, a generation that a client is reading is not cancelled and the response is 409. */
    private suspend fun cancelGeneration(call: ApplicationCall) {
        val generation = RequestId(call.parameters["id"].orEmpty())
        val isConditional = call.request.queryParameters["unattended"] == "true"
        if (isConditional && readers.containsKey(generation)) return respondJson(call, "{}", HttpStatusCode.Conflict)
        driver.cancel(generation)
        respondJson(call, "{}")
    }

    private suspend fun stream(
        call: ApplicationCall,
        generation: RequestId,
        from: Int,
    ) {
        val progress = driver.progress(generation) ?: return respondJson(call, "{}", HttpStatusCode.NotFound)
        readers.merge(generation, 1, Int::plus)
        try {
            streams.serve(call, progress, from)
        } finally {
            readers.computeIfPresent(generation) { _, count -> if (count == 1) null else count - 1 }
        }
    }

    private suspend fun acceptOrder(call: ApplicationCall) {
        val target =
            call.parameters
                .getAll("target")
                .orEmpty()
                .joinToString("/")
        val order = decode(EngineWire.Order.serializer(), call.receiveText()) ?: return badRequest(call)
        val isAccepted = driver.acceptOrder(target, order.fencing, order.desired)
        respondJson(call, "{}", if (isAccepted) HttpStatusCode.OK else HttpStatusCode.Conflict)
    }

    private fun toModelRequest(start: EngineWire.Start) =
        ModelRequest(
            generation = RequestId(start.id),
            model = start.model,
            kind = PromptReader.kindOf(start.prompt),
            promptTokens = PromptReader.tokensOf(start.prompt),
            maximumTokens = start.maxTokens,
            priority = start.priority,
            promptBlocks = PromptReader.blocksOf(start.prompt, settings.blockTokens),
        )

    private suspend fun refuse(
        call: ApplicationCall,
        generation: String,
        status: HttpStatusCode,
    ) = respondJson(call, "{}", status, mapOf("X-Not-Run" to generation))

    private suspend fun badRequest(call: ApplicationCall) = respondJson(call, "{}", HttpStatusCode.BadRequest)

    private fun onOverloadCrash() {
        hasCrashed = true
        overloadCrashes++
        crash((settings.cold.restartMillis / timeScale).toLong())
    }

    private fun <T> decode(
        deserializer: DeserializationStrategy<T>,
        text: String,
    ): T? =
        try {
            json.decodeFromString(deserializer, text)
        } catch (_: SerializationException) {
            null
        }
}
