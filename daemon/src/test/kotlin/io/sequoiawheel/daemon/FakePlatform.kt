package io.sequoiawheel.daemon

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ServiceDocument
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import java.util.concurrent.ConcurrentHashMap

/** An in-memory object API and instance list whose changes are visible immediately. */
class FakePlatform {
    private class Stored(
        val version: Long,
        val revision: Long,
        val value: String,
    )

    private val objects = HashMap<Pair<String, String>, Stored>()
    private var revision = 0L

    /** The listed instances by ID. */
    val instances = ConcurrentHashMap<String, Instance>()

    @Volatile
    var isUnavailable = false

    val server =
        FakeServer {
            get("/objects/{kind}/{name}") { withPlatform(call) { read(call) } }
            put("/objects/{kind}/{name}") { withPlatform(call) { write(call) } }
            get("/objects/{kind}") { withPlatform(call) { call.respondText(listing(call, 0, "objects")) } }
            get("/watch/{kind}") { withPlatform(call) { watch(call) } }
            get("/instances") {
                withPlatform(call) {
                    val list = instances.values.map { Json.encodeToString(Instance.serializer(), it) }
                    call.respondText("""{"instances":$list}""")
                }
            }
            put("/instances/{id}") {
                withPlatform(call) {
                    val instance = Json.decodeFromString(Instance.serializer(), call.receiveText())
                    instances[instance.id.value] = instance
                    call.respondText("{}")
                }
            }
        }

    fun put(document: ServiceDocument) = store("document" to document.service.value, DocumentCodec.encode(document))

    @Synchronized
    fun objectCount(kind: String): Int = objects.keys.count { it.first == kind }

    @Synchronized
    private fun store(
        key: Pair<String, String>,
        value: String,
        expected: Long? = null,
    ): Long? {
        val current = objects[key]?.version ?: 0
        if (expected != null && expected != current) return null
        objects[key] = Stored(current + 1, ++revision, value)
        return current + 1
    }

    private suspend fun withPlatform(
        call: ApplicationCall,
        block: suspend () -> Unit,
    ) = if (isUnavailable) call.respondText("", status = HttpStatusCode.ServiceUnavailable) else block()

    private fun keyOf(call: ApplicationCall) = call.parameters["kind"]!! to call.parameters["name"]!!

    private suspend fun read(call: ApplicationCall) {
        val found = synchronized(this) { objects[keyOf(call)] }
        if (found == null) return call.respondText("{}", status = HttpStatusCode.NotFound)
        call.respondText("""{"version":${found.version},"value":${JsonPrimitive(found.value)}}""")
    }

    private suspend fun write(call: ApplicationCall) {
        val version = store(keyOf(call), call.receiveText(), call.request.header("If-Match")!!.toLong())
        if (version == null) return call.respondText("{}", status = HttpStatusCode.Conflict)
        call.respondText("""{"version":$version}""")
    }

    private suspend fun watch(call: ApplicationCall) {
        val after = call.request.queryParameters["after"]!!.toLong()
        repeat(50) {
            if (synchronized(this) { revision } > after) return call.respondText(listing(call, after, "changes"))
            delay(20)
        }
        call.respondText(listing(call, after, "changes"))
    }

    @Synchronized
    private fun listing(
        call: ApplicationCall,
        after: Long,
        field: String,
    ): String {
        val entries =
            objects
                .filter { (key, stored) -> key.first == call.parameters["kind"] && stored.revision > after }
                .map { (key, stored) ->
                    """{"name":"${key.second}","version":${stored.version},"value":${JsonPrimitive(stored.value)}}"""
                }
        return """{"revision":$revision,"$field":$entries}"""
    }
}
