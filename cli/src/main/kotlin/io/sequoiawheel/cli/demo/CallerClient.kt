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

/** HTTP client for the callers' interface of an entry instance. */
internal class CallerClient : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAXIMUM_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
            }
        }

    /** A server-sent event. */
    class Event(
        val name: String,
        val id: Int?,
        val data: JsonObject,
    )

    /** Posts [body] and returns the JSON response, or null if the request failed without one. */
    suspend fun post(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        body: JsonElement,
        idempotencyKey: String? = null,
    ): JsonObject? =
        nullOnFailure {
            val response =
                http.post(url) {
                    addCallerHeaders(workspace, requestId)
                    idempotencyKey?.let { header("Idempotency-Key", it) }
                    setBody(TextContent(body.toString(), ContentType.Application.Json))
                }
            Json.parseToJsonElement(response.bodyAsText()).jsonObject
        }

    /** Gets [url] and returns the JSON response, or null if the request failed without one. */
    suspend fun get(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
    ): JsonObject? =
        nullOnFailure {
            val response = http.get(url) { addCallerHeaders(workspace, requestId) }
            Json.parseToJsonElement(response.bodyAsText()).jsonObject
        }

    /**
     * Posts a generation and passes each event to [onEvent] until that returns false or the connection ends. A
     * rejection in JSON is passed as an event named `error`.
     */
    suspend fun postStream(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        body: JsonElement,
        onEvent: suspend (Event) -> Boolean,
    ) = stream(onEvent) {
        http.preparePost(url) {
            addCallerHeaders(workspace, requestId)
            setBody(TextContent(body.toString(), ContentType.Application.Json))
        }
    }

    /** Resumes a stream after offset [lastOffset], or from its start if that is null. */
    suspend fun resumeStream(
        url: String,
        workspace: WorkspaceName,
        requestId: String,
        lastOffset: Int?,
        onEvent: suspend (Event) -> Boolean,
    ) = stream(onEvent) {
        http.prepareGet(url) {
            addCallerHeaders(workspace, requestId)
            lastOffset?.let { header("Last-Event-ID", it) }
        }
    }

    override fun close() = http.close()

    private fun HttpRequestBuilder.addCallerHeaders(
        workspace: WorkspaceName,
        requestId: String,
    ) {
        header("X-Workspace", workspace.value)
        header("X-Request-Id", requestId)
    }

    private suspend fun stream(
        onEvent: suspend (Event) -> Boolean,
        prepareRequest: suspend () -> HttpStatement,
    ) {
        nullOnFailure {
            prepareRequest().execute { response ->
                if (response.headers["Content-Type"]?.startsWith("text/event-stream") != true) {
                    onEvent(Event("error", null, Json.parseToJsonElement(response.bodyAsText()).jsonObject))
                    return@execute
                }
                val channel = response.bodyAsChannel()
                while (true) {
                    val event = readEvent(channel) ?: return@execute
                    if (!onEvent(event)) return@execute
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

    private suspend fun <T> nullOnFailure(block: suspend () -> T): T? =
        try {
            block()
        } catch (error: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } catch (error: Exception) {
            null
        }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 2_000
    }
}
