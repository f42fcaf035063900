package io.sequoiawheel.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.sequoiawheel.core.model.LoadReport
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicInteger

/** A plain service that echoes request bodies and counts the calls that it runs. */
class FakePlainService {
    val runs = AtomicInteger()

    @Volatile
    var durationMillis = 0L

    /** Whether answers have the ID of another request. */
    @Volatile
    var returnsOtherRequestId = false

    /** Whether answers are truncated in a way that the HTTP client does not detect. */
    @Volatile
    var truncatesAnswers = false

    @Volatile
    var rejectsCalls = false

    val server =
        FakeServer {
            post("/calls/{call}") { run(call) }
            get("/load") {
                val load = LoadReport("start", maximumConcurrent = 100)
                call.respondText(Json.encodeToString(LoadReport.serializer(), load))
            }
        }

    private suspend fun run(call: ApplicationCall) {
        val id = call.request.header("X-Request-Id").orEmpty()
        if (rejectsCalls) {
            call.response.headers.append("X-Not-Run", id)
            return call.respondText("{}", status = HttpStatusCode.ServiceUnavailable)
        }
        runs.incrementAndGet()
        val body = call.receiveText()
        delay(durationMillis)
        call.response.headers.append("X-Request-Id", if (returnsOtherRequestId) "another" else id)
        val answer = """{"echo":$body}"""
        call.respondText(if (truncatesAnswers) answer.dropLast(3) else answer)
    }
}
