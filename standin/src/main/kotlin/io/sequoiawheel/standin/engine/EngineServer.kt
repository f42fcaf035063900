/*
 * The model engine over HTTP. Streams are server-sent events that anyone may read again from any offset until the
 * resume window has passed; a reader that leaves does not stop its generation. If the engine fails, its connections end
 * and the server stops listening until the engine has restarted, cold and with a new start id.
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
 * One model engine.
 *
 * @param timeScale how much faster than real time the engine works; all times of [settings] shrink by it
 * @param startsCold whether the first process is cold; later ones always are
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
    // The server itself keeps the port closed while the engine restarts, so the model needs no down time of its own.
    private val model =
        EngineModel(settings.copy(cold = settings.cold.copy(restartMillis = 0)), lengths, seed, startsCold)
    private val refusals = AtomicInteger()
    private val streams = EngineStreams(link)
    private val readers = ConcurrentHashMap<RequestId, Int>()
    private var scope = CoroutineScope(SupervisorJob())

    @Volatile
    private var hasCrashed = false

    /** How often the engine failed because it received more than it could handle while cold. */
    @Volatile
    var overloadCrashes: Int = 0
        private set

    /** Access to the engine without HTTP. */
    val driver = EngineDriver(model, clock, timeScale, ::crashedByItself, observer)

    override suspend fun onStart() {
        hasCrashed = false
        scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
        driver.launchIn(scope)
    }

    override suspend fun onStop() {
        scope.cancel()
        if (!hasCrashed) driver.crash()
        observer.onDeath()
    }

    override fun Routing.routes() {
        post("/generations") { startGeneration(call) }
        get("/generations/{id}") { resumeGeneration(call) }
        delete("/generations/{id}") { cancelGeneration(call) }
        get("/load") { answer(call, json.encodeToString(LoadReport.serializer(), driver.loadReport())) }
        get("/cache-events") {
            val events = driver.cacheEvents(call.request.queryParameters["after"]?.toLongOrNull() ?: 0)
            val body = EngineWire.Events(events.map { EngineWire.Event(it.sequence, it.stored, it.evicted) })
            answer(call, json.encodeToString(EngineWire.Events.serializer(), body))
        }
        put("/orders/{target...}") { takeOrder(call) }
        get("/orders") {
            val orders = driver.orders().map { EngineWire.TakenOrder(it.target, it.fencing, it.desired, it.isInEffect) }
            answer(call, json.encodeToString(EngineWire.Orders.serializer(), EngineWire.Orders(orders)))
        }
    }

    override suspend fun order(faults: FaultOrder): String? {
        if (faults.copy(engine = null).hasModelPart) return UNKNOWN_PART
        val ordered = faults.engine ?: return null
        if (ordered.turnCold) driver.turnCold()
        refusals.set(ordered.refuseNext)
        streams.order(ordered)
        return null
    }

    private suspend fun startGeneration(call: ApplicationCall) {
        val start = decode(EngineWire.Start.serializer(), call.receiveText()) ?: return badRequest(call)
        observer.onArrival(RequestId(start.id))
        if (refusals.getAndUpdate { maxOf(0, it - 1) } > 0) {
            return refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
        }
        when (driver.submit(toModelRequest(start))) {
            Submission.ACCEPTED -> stream(call, RequestId(start.id), 0)
            Submission.DUPLICATE -> answer(call, "{}", HttpStatusCode.Conflict)
            Submission.MODEL_NOT_LOADED -> refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
            Submission.TOO_LARGE -> refuse(call, start.id, HttpStatusCode.PayloadTooLarge)
            Submission.DOWN -> refuse(call, start.id, HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun resumeGeneration(call: ApplicationCall) {
        val from = call.request.queryParameters["from"]?.toIntOrNull() ?: 0
        stream(call, RequestId(call.parameters["id"].orEmpty()), from)
    }

    /** With `unattended=true` a generation that somebody reads is left alone and the answer is 409. */
    private suspend fun cancelGeneration(call: ApplicationCall) {
        val generation = RequestId(call.parameters["id"].orEmpty())
        val isConditional = call.request.queryParameters["unattended"] == "true"
        if (isConditional && readers.containsKey(generation)) return answer(call, "{}", HttpStatusCode.Conflict)
        driver.cancel(generation)
        answer(call, "{}")
    }

    private suspend fun stream(
        call: ApplicationCall,
        generation: RequestId,
        from: Int,
    ) {
        val progress = driver.progress(generation) ?: return answer(call, "{}", HttpStatusCode.NotFound)
        readers.merge(generation, 1, Int::plus)
        try {
            streams.serve(call, progress, from)
        } finally {
            readers.computeIfPresent(generation) { _, count -> if (count == 1) null else count - 1 }
        }
    }

    private suspend fun takeOrder(call: ApplicationCall) {
        val target =
            call.parameters
                .getAll("target")
                .orEmpty()
                .joinToString("/")
        val order = decode(EngineWire.Order.serializer(), call.receiveText()) ?: return badRequest(call)
        val isTaken = driver.takeOrder(target, order.fencing, order.desired)
        answer(call, "{}", if (isTaken) HttpStatusCode.OK else HttpStatusCode.Conflict)
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
    ) = answer(call, "{}", status, mapOf("X-Not-Run" to generation))

    private suspend fun badRequest(call: ApplicationCall) = answer(call, "{}", HttpStatusCode.BadRequest)

    private fun crashedByItself() {
        hasCrashed = true
        overloadCrashes++
        die((settings.cold.restartMillis / timeScale).toLong())
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
