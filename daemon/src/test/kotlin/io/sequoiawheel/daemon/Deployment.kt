package io.sequoiawheel.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.utils.io.readUTF8Line
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.daemon.settings.DaemonSettings
import io.sequoiawheel.objectapi.PlatformSettings
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** A fake platform, engine and plain service with [daemonCount] entry daemons, all in this process. */
class Deployment(
    private val daemonCount: Int = 1,
    gapMillis: Long = 5,
) : AutoCloseable {
    val platform = FakePlatform()
    val engine = FakeEngine(gapMillis)
    val plain = FakePlainService()
    val daemons = mutableListOf<EntryDaemon>()
    val client = HttpClient(CIO) { engine { requestTimeout = 0 } }

    suspend fun start() {
        listOf(platform.server, engine.server, plain.server).forEach { it.start() }
        platform.put(writers)
        platform.put(desk)
        registerBackend("engine-1", writers.service, engine.server.address)
        registerBackend("plain-1", desk.service, plain.server.address)
        repeat(daemonCount) { index ->
            val daemon = EntryDaemon(settings("entry-$index"))
            check(daemon.start().isRight()) { "the daemon did not start" }
            daemons += daemon
        }
        daemons.indices.forEach { awaitReady(it) }
    }

    fun registerBackend(
        id: String,
        service: ServiceName,
        address: String,
    ) {
        val instance =
            Instance(InstanceId(id), Instance.Role.BACKEND, zone, "region", address, service)
        platform.instances[id] = instance
    }

    suspend fun send(
        daemon: Int,
        method: HttpMethod,
        path: String,
        body: String? = null,
        configure: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse =
        client.request("http://127.0.0.1:${daemons[daemon].port}$path") {
            this.method = method
            header("X-Workspace", "office")
            body?.let { setBody(it) }
            configure()
        }

    /** Reads a stream until it ends or [limit] token events have arrived, then closes the connection. */
    suspend fun stream(
        daemon: Int,
        method: HttpMethod,
        path: String,
        body: String? = null,
        limit: Int = Int.MAX_VALUE,
        configure: HttpRequestBuilder.() -> Unit = {},
        onEvent: suspend (Event) -> Unit = {},
    ): List<Event> =
        client
            .prepareRequest("http://127.0.0.1:${daemons[daemon].port}$path") {
                this.method = method
                header("X-Workspace", "office")
                body?.let { setBody(it) }
                configure()
            }.execute { response ->
                val channel = response.bodyAsChannel()
                val events = mutableListOf<Event>()
                var fields = mutableMapOf<String, String>()
                while (events.count { it.name == "token" } < limit) {
                    val line = channel.readUTF8Line() ?: break
                    if (line.isNotEmpty()) {
                        fields[line.substringBefore(": ")] = line.substringAfter(": ")
                    } else {
                        val event = Event(fields["id"]?.toInt(), fields["event"].orEmpty(), fields["data"].orEmpty())
                        events += event
                        onEvent(event)
                        fields = mutableMapOf()
                    }
                }
                events
            }

    override fun close() {
        daemons.forEach { it.close() }
        client.close()
        listOf(platform.server, engine.server, plain.server).forEach { it.stop() }
    }

    private suspend fun awaitReady(daemon: Int) =
        withTimeout(30_000) {
            while (send(daemon, HttpMethod.Get, "/ready").status.value != 200) delay(50)
            while (send(daemon, HttpMethod.Post, GENERATIONS, generation(1)).status.value != 200) delay(50)
        }

    private fun settings(id: String): DaemonSettings {
        val base = "http://${platform.server.address}"
        return DaemonSettings(
            instanceId = InstanceId(id),
            region = "region",
            zone = zone,
            listen = DaemonSettings.Endpoint("127.0.0.1", 0),
            peer = DaemonSettings.Endpoint("127.0.0.1", 0),
            platform = PlatformSettings(base, base, base, callsPerSecond = 1_000.0),
            resumeKey = "AAECAwQFBgcICQoLDA0ODw==",
        )
    }

    /** A server-sent event. */
    class Event(
        val id: Int?,
        val name: String,
        val data: String,
    ) {
        fun field(name: String): String =
            Json
                .parseToJsonElement(data)
                .jsonObject
                .getValue(name)
                .jsonPrimitive.content
    }

    companion object {
        const val GENERATIONS = "/v1/services/writers/generations"
        const val CALLS = "/v1/services/desk/calls"
        val zone = ZoneName("zone-a")
        val writers =
            ServiceDocument(
                service = ServiceName("writers"),
                kind = ServiceDocument.Kind.MODEL_ENGINE,
                author = "test",
                models = listOf(ServiceDocument.Model("m")),
                resumeWindowMillis = 500,
            )
        val desk =
            ServiceDocument(
                service = ServiceName("desk"),
                kind = ServiceDocument.Kind.PLAIN_SERVICE,
                author = "test",
                calls = listOf(ServiceDocument.Call("lookup", true), ServiceDocument.Call("pledge", false)),
            )

        fun generation(tokens: Int) = """{"model":"m","prompt":"write","maxTokens":$tokens}"""
    }
}
