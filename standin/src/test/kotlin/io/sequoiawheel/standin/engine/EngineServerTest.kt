package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CompletableFuture

class EngineServerTest {
    private val client = HttpClient.newHttpClient()
    private val lengths = OutputLengths(1, mapOf("long" to LengthDistribution(10_000.0, 0.1)))
    private val tokens = (0 until 200).map { EngineModel.tokenText(RequestId("g"), it) }

    private fun withServer(
        settings: EngineSettings = EngineSettings(),
        test: suspend (EngineServer) -> Unit,
    ) = runBlocking {
        val server = EngineServer(settings, lengths, seed = 1, timeScale = 10.0)
        server.start()
        try {
            withTimeout(20_000) { test(server) }
        } finally {
            server.close()
        }
    }

    private fun send(
        server: EngineServer,
        method: String,
        path: String,
        body: String = "",
    ): CompletableFuture<HttpResponse<String>> =
        client.sendAsync(
            HttpRequest
                .newBuilder(URI(server.baseUrl + path))
                .method(method, BodyPublishers.ofString(body))
                .build(),
            BodyHandlers.ofString(),
        )

    private fun startGeneration(server: EngineServer) =
        send(
            server,
            "POST",
            "/generations",
            """{"id":"g","model":"letters","prompt":"#long x","maxTokens":200,"priority":0}""",
        )

    private fun textsOf(stream: String) =
        Regex(""""text":"([^"]*)"""").findAll(stream).map { it.groupValues[1] }.toList()

    private suspend fun awaitTokens(
        server: EngineServer,
        count: Int,
    ) {
        while ((
                server.driver
                    .progress(RequestId("g"))
                    ?.value
                    ?.tokens ?: 0
            ) < count
        ) {
            delay(2)
        }
    }

    /** Guards against lost or repeated tokens when a client resumes a stream after its connection was cut. */
    @Test
    fun `a stream that was cut can be resumed from an offset and delivers the same tokens`() =
        withServer { server ->
            val first = startGeneration(server)
            awaitTokens(server, 20)
            send(server, "PUT", "/faults", """{"link":{"cutConnections":true}}""").await()
            assertTrue(runCatching { first.await() }.exceptionOrNull() is IOException)
            val rest = send(server, "GET", "/generations/g?from=20").await().body()
            assertEquals(tokens.drop(20), textsOf(rest))
            assertTrue(rest.endsWith("event: done\ndata: {\"generation\":\"g\",\"tokens\":200}\n\n"))
            assertEquals(409, startGeneration(server).await().statusCode())
        }

    /** Guards against a stall that ends the stream or still delivers tokens. */
    @Test
    fun `a stalled link pauses the stream and no token is lost when the stall ends`() =
        withServer { server ->
            val stream = startGeneration(server)
            awaitTokens(server, 5)
            send(server, "PUT", "/faults", """{"link":{"stalled":true}}""").await()
            awaitTokens(server, 200)
            delay(50)
            assertTrue(!stream.isDone)
            send(server, "PUT", "/faults", """{"link":{}}""").await()
            assertEquals(tokens, textsOf(stream.await().body()))
        }

    /** Guards against an engine that checks fencing numbers when it should ignore them, or the reverse. */
    @Test
    fun `a stale fencing number is rejected or ignored according to the settings`() =
        listOf(true to 409, false to 200).forEach { (checks, status) ->
            withServer(EngineSettings(orders = EngineSettings.Orders(checksFencing = checks))) { server ->
                val newer = """{"fencing":7,"desired":"loaded"}"""
                val older = """{"fencing":6,"desired":"unloaded"}"""
                assertEquals(200, send(server, "PUT", "/orders/model/tags", newer).await().statusCode())
                assertEquals(status, send(server, "PUT", "/orders/model/letters", older).await().statusCode())
                val orders = send(server, "GET", "/orders").await().body()
                assertEquals(!checks, "model/letters" in orders)
            }
        }

    /** Guards against a crashed engine that keeps its generations or its start id after the restart. */
    @Test
    fun `a crash loses the generations and the restarted engine is cold with a new start id`() =
        withServer { server ->
            val stream = startGeneration(server)
            awaitTokens(server, 5)
            val before = server.driver.loadReport().startId
            send(server, "PUT", "/faults", """{"link":{"dieForMillis":50}}""")
            assertTrue(runCatching { stream.await() }.exceptionOrNull() is IOException)
            while (server.running) delay(2)
            while (!server.running) delay(2)
            assertEquals(404, send(server, "GET", "/generations/g?from=5").await().statusCode())
            assertTrue(server.driver.loadReport().cold)
            assertNotEquals(before, server.driver.loadReport().startId)
            assertEquals(
                GenerationLog.End.LOST,
                server.driver.generations
                    .single()
                    .end,
            )
        }
}
