package io.sequoiawheel.cli.demo

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.TextContent
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readUTF8Line
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** The callers' side of the HTTP interface, as a script of a caller would use it. */
internal class CallerClient : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = CONNECTIONS
                endpoint.maxConnectionsPerRoute = CONNECTIONS
            }
        }

    /** One server-sent event. */
    class Event(
        val name: String,
        val id: Int?,
        val data: JsonObject,
    )

    /** Posts [body] and returns the JSON answer, or null if the connection ended without one. */
    suspend fun post(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        body: JsonElement,
        key: String? = null,
    ): JsonObject? =
        guarded {
            val response =
                http.post(url) {
                    identify(workspace, requestId)
                    key?.let { header("Idempotency-Key", it) }
                    setBody(TextContent(body.toString(), ContentType.Application.Json))
                }
            Json.parseToJsonElement(response.bodyAsText()).jsonObject
        }

    /** Returns the JSON answer at [url], or null if the connection ended without one. */
    suspend fun get(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
    ): JsonObject? =
        guarded {
            val response = http.get(url) { identify(workspace, requestId) }
            Json.parseToJsonElement(response.bodyAsText()).jsonObject
        }

    /**
     * Posts a generation and hands its events to [take] until that returns false or the connection ends. A refusal in
     * JSON is handed on as an event named `error`.
     */
    suspend fun postStream(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        body: JsonElement,
        take: suspend (Event) -> Boolean,
    ) = stream(take) {
        http.preparePost(url) {
            identify(workspace, requestId)
            setBody(TextContent(body.toString(), ContentType.Application.Json))
        }
    }

    /** Continues a stream after offset [last], or from its start if that is null. */
    suspend fun resumeStream(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        last: Int?,
        take: suspend (Event) -> Boolean,
    ) = stream(take) {
        http.prepareGet(url) {
            identify(workspace, requestId)
            last?.let { header("Last-Event-ID", it) }
        }
    }

    override fun close() = http.close()

    private fun HttpRequestBuilder.identify(
        workspace: WorkspaceName,
        requestId: String,
    ) {
        header("X-Workspace", workspace.value)
        header("X-Request-Id", requestId)
    }

    private suspend fun stream(
        take: suspend (Event) -> Boolean,
        prepare: suspend () -> HttpStatement,
    ) {
        guarded {
            prepare().execute { response ->
                if (response.headers["Content-Type"]?.startsWith("text/event-stream") != true) {
                    take(Event("error", null, Json.parseToJsonElement(response.bodyAsText()).jsonObject))
                    return@execute
                }
                val channel = response.bodyAsChannel()
                while (true) {
                    val event = readEvent(channel) ?: return@execute
                    if (!take(event)) return@execute
                }
            }
        }
    }

    private suspend fun readEvent(channel: ByteReadChannel): Event? {
        val fields = HashMap<String, String>()
        while (true) {
            val line = channel.readUTF8Line() ?: return null
            if (line.isNotEmpty()) {
                fields[line.substringBefore(": ")] = line.substringAfter(": ")
            } else if ("data" in fields) {
                val data = Json.parseToJsonElement(fields.getValue("data")).jsonObject
                return Event(fields["event"].orEmpty(), fields["id"]?.toIntOrNull(), data)
            }
        }
    }

    private suspend fun <T> guarded(block: suspend () -> T): T? =
        try {
            block()
        } catch (error: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } catch (error: Exception) {
            null
        }

    private companion object {
        const val CONNECTIONS = 2_000
    }
}
