package io.sequoiawheel.standin.plain

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

class PlainServiceServerTest {
    private val client = HttpClient.newHttpClient()

    private fun withServer(
        settings: PlainServiceSettings = PlainServiceSettings(mapOf("record" to PlainServiceSettings.Call(5))),
        test: suspend (PlainServiceServer) -> Unit,
    ) = runBlocking {
        val server = PlainServiceServer(settings, seed = 1)
        server.start()
        try {
            test(server)
        } finally {
            server.close()
        }
    }

    private suspend fun call(
        server: PlainServiceServer,
        id: String,
    ): HttpResponse<String> =
        client
            .sendAsync(
                HttpRequest
                    .newBuilder(URI("${server.baseUrl}/calls/record"))
                    .header("X-Request-Id", id)
                    .timeout(Duration.ofSeconds(5))
                    .POST(BodyPublishers.ofString("{}"))
                    .build(),
                BodyHandlers.ofString(),
            ).await()

    private suspend fun injectFaults(
        server: PlainServiceServer,
        body: String,
    ): Int =
        client
            .sendAsync(
                HttpRequest
                    .newBuilder(URI("${server.baseUrl}/faults"))
                    .PUT(BodyPublishers.ofString(body))
                    .build(),
                BodyHandlers.ofString(),
            ).await()
            .statusCode()

    /** Guards against injected faults that cannot be distinguished, which would hide errors of the daemons. */
    @Test
    fun `each injected fault affects one call and only refused calls do not run`() =
        withServer { server ->
            assertEquals(200, call(server, "a").statusCode())
            val body = """{"plain":{"answers":["refused","failed","crossed","mismatched","lost"]}}"""
            assertEquals(204, injectFaults(server, body))
            assertEquals("b", call(server, "b").headers().firstValue("X-Not-Run").get())
            assertEquals(500, call(server, "c").statusCode())
            assertEquals("c", call(server, "d").headers().firstValue("X-Request-Id").get())
            assertEquals("other-e", call(server, "e").headers().firstValue("X-Request-Id").get())
            assertThrows(IOException::class.java) { runBlocking { call(server, "f") } }
            assertEquals(200, call(server, "g").statusCode())
            assertEquals(listOf("a", "c", "d", "e", "f", "g"), server.model.runs.map { it.requestId.value })
        }

    /** Guards against a misspelt fault that is accepted without taking effect. */
    @Test
    fun `an unknown fault is rejected`() =
        withServer { server -> assertEquals(400, injectFaults(server, """{"link":{"outtage":true}}""")) }

    /** Guards against a stopped process whose connections stay open, and against a restart on another port. */
    @Test
    fun `a stop aborts open calls and the restart has the same port and a new start id`() {
        val slow = PlainServiceSettings(mapOf("record" to PlainServiceSettings.Call(60_000)), coldMillis = 0)
        withServer(slow) { server ->
            val before = server.port
            val open =
                client.sendAsync(
                    HttpRequest
                        .newBuilder(URI("${server.baseUrl}/calls/record"))
                        .header("X-Request-Id", "a")
                        .POST(BodyPublishers.ofString("{}"))
                        .build(),
                    BodyHandlers.ofString(),
                )
            while (server.model.runs.isEmpty()) delay(5)
            val startedAt = System.nanoTime()
            server.stop()
            assertTrue(runCatching { open.await() }.exceptionOrNull() is IOException)
            assertTrue(System.nanoTime() - startedAt < Duration.ofSeconds(2).toNanos())
            assertTrue(runCatching { call(server, "b") }.exceptionOrNull() is IOException)
            server.start()
            assertEquals(before, server.port)
            assertEquals("start-2", server.model.load(0).startId)
        }
    }
}
