package io.sequoiawheel.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.writeStringUtf8
import io.sequoiawheel.core.model.LoadReport
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** An engine that produces `t0 t1 ...` up to the output limit, one token every [gapMillis]. */
class FakeEngine(
    private val gapMillis: Long = 5,
) {
    private class Generation(
        val tokens: Int,
    )

    private val readers = ConcurrentHashMap<String, Int>()
    private val generations = ConcurrentHashMap<String, Generation>()

    /** Offset of the token before which the first connection of a generation stalls. */
    @Volatile
    var stallOffset = Int.MAX_VALUE

    /** Whether new generations are rejected with a proof that they did not run. */
    @Volatile
    var rejectsGenerations = false
    val started = AtomicInteger()
    val cancelled = ConcurrentHashMap.newKeySet<String>()

    val server =
        FakeServer {
            post("/generations") { start(call) }
            get("/generations/{id}") { resume(call) }
            delete("/generations/{id}") { cancel(call) }
            get("/load") { call.respondText(Json.encodeToString(LoadReport.serializer(), load())) }
        }

    private fun load() =
        LoadReport("start", memoryCapacityTokens = 1_000_000, maximumConcurrent = 1_000, models = listOf("m"))

    private suspend fun start(call: ApplicationCall) {
        val body = Json.parseToJsonElement(call.receiveText()).jsonObject
        val id = body.getValue("id").jsonPrimitive.content
        if (rejectsGenerations) {
            call.response.headers.append("X-Not-Run", id)
            return call.respondText("{}", status = HttpStatusCode.ServiceUnavailable)
        }
        started.incrementAndGet()
        generations[id] = Generation(body.getValue("maxTokens").jsonPrimitive.int)
        send(call, id, 0, stallOffset)
    }

    private suspend fun resume(call: ApplicationCall) {
        val id = call.parameters["id"].orEmpty()
        if (!generations.containsKey(id)) return call.respondText("{}", status = HttpStatusCode.NotFound)
        send(call, id, call.request.queryParameters["from"]!!.toInt(), Int.MAX_VALUE)
    }

    private suspend fun cancel(call: ApplicationCall) {
        val id = call.parameters["id"].orEmpty()
        val hasReaders = readers.getOrDefault(id, 0) > 0
        if (hasReaders && call.request.queryParameters["unattended"] == "true") {
            return call.respondText("{}", status = HttpStatusCode.Conflict)
        }
        cancelled += id
        generations.remove(id)
        call.respondText("{}")
    }

    private suspend fun send(
        call: ApplicationCall,
        id: String,
        from: Int,
        stallOffset: Int,
    ) = try {
        readers.merge(id, 1, Int::plus)
        write(call, id, from, stallOffset)
    } finally {
        readers.merge(id, -1, Int::plus)
    }

    private suspend fun write(
        call: ApplicationCall,
        id: String,
        from: Int,
        stallOffset: Int,
    ) = call.respondBytesWriter(ContentType.Text.EventStream) {
        val tokens = generations.getValue(id).tokens
        for (offset in from until tokens) {
            if (offset == stallOffset) awaitCancellation()
            if (gapMillis > 0) delay(gapMillis)
            writeStringUtf8("id: $offset\nevent: token\ndata: {\"generation\":\"$id\",\"text\":\"t$offset \"}\n\n")
            flush()
        }
        writeStringUtf8("event: done\ndata: {\"generation\":\"$id\",\"tokens\":$tokens}\n\n")
        flush()
    }
}
