package io.sequoiawheel.standin.plain

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.standin.server.BackendObserver
import io.sequoiawheel.standin.server.FaultOrder
import io.sequoiawheel.standin.server.StandInServer
import kotlinx.coroutines.delay
import org.apache.commons.rng.simple.RandomSource

/**
 * HTTP server of a plain service: `POST /calls/{call}` and `GET /load`. A refusal has the header `X-Not-Run` with the
 * request id.
 *
 * @param seed seed for the random durations of the calls
 */
class PlainServiceServer(
    settings: PlainServiceSettings,
    seed: Long,
    port: Int = 0,
    private val observer: BackendObserver = BackendObserver,
) : StandInServer(port) {
    /** The simulated service; its recorded runs survive a restart of the server. */
    val model = PlainServiceModel(settings, RandomSource.XO_RO_SHI_RO_128_PP.create(seed))

    override suspend fun onStart() = model.restart(clock.nowMillis())

    override suspend fun onStop() = observer.onProcessEnd()

    override fun Routing.routes() {
        post("/calls/{call}") { serve(call) }
        get("/load") { respondJson(call, json.encodeToString(LoadReport.serializer(), model.load(clock.nowMillis()))) }
    }

    override suspend fun applyFaults(faults: FaultOrder): String? {
        if (faults.copy(plain = null).hasModelFaults) return UNSUPPORTED_FAULTS
        faults.plain?.let { model.applyFaults(it, clock.nowMillis()) }
        return null
    }

    private suspend fun serve(call: ApplicationCall) {
        val requestId = RequestId(call.request.header("X-Request-Id").orEmpty())
        val name = call.parameters["call"].orEmpty()
        observer.onArrival(requestId)
        when (val reply = model.begin(requestId, name, call.receiveText(), clock.nowMillis())) {
            is PlainReply.Started -> complete(call, reply.run)
            is PlainReply.Refused -> refuse(call, requestId, HttpStatusCode.ServiceUnavailable)
            else -> refuse(call, requestId, HttpStatusCode.NotFound)
        }
    }

    private suspend fun complete(
        call: ApplicationCall,
        run: PlainRun,
    ) {
        val cutsBefore = link.cutCount.value
        observer.onStart(run.requestId)
        delay(run.durationMillis)
        val reply = model.finish(run)
        observer.onEnd(run.requestId, run.answer)
        when (reply) {
            is PlainReply.Answer -> {
                delay(reply.delayMillis)
                if (link.cutCount.value != cutsBefore) return abortConnection()
                val status = HttpStatusCode.fromValue(reply.status)
                respondJson(call, reply.body, status, mapOf("X-Request-Id" to reply.requestId.value))
            }

            else -> abortConnection()
        }
    }

    private suspend fun refuse(
        call: ApplicationCall,
        requestId: RequestId,
        status: HttpStatusCode,
    ) = respondJson(call, "{}", status, mapOf("X-Request-Id" to requestId.value, "X-Not-Run" to requestId.value))
}
