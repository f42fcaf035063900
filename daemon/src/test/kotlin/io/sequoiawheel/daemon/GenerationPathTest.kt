package io.sequoiawheel.daemon

import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GenerationPathTest {
    private fun withDeployment(
        daemons: Int = 1,
        gapMillis: Long = 5,
        block: suspend Deployment.() -> Unit,
    ) = runBlocking {
        withTimeout(60_000) {
            Deployment(daemons, gapMillis).use {
                it.start()
                it.block()
            }
        }
    }

    private fun List<Deployment.Event>.offsets() = filter { it.name == "token" }.map { it.id }

    /** Guards against a stream that loses, repeats or reorders tokens or ends without a `done` event (P1, P4). */
    @Test
    fun `a stream delivers every token once and in order and ends with done`() =
        withDeployment {
            val events = stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(20))
            assertEquals("accepted", events.first().name)
            assertEquals((0..19).toList(), events.offsets())
            assertEquals("20", events.last().field("tokens"))
            val whole = """{"model":"m","prompt":"p","maxTokens":3,"delivery":"whole"}"""
            val answer = send(0, HttpMethod.Post, Deployment.GENERATIONS, whole)
            assertTrue(answer.bodyAsText().contains("\"text\":\"t0 t1 t2 \""), answer.bodyAsText())
        }

    /** Guards against a stalled engine connection that ends a stream although the engine still has the generation. */
    @Test
    fun `a stream continues on a new connection after the engine connection stalls`() =
        withDeployment {
            engine.stallOffset = 30
            val events = stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(60))
            assertEquals((0..59).toList(), events.offsets())
            assertEquals("done", events.last().name)
        }

    /**
     * Guards against a resume that works only at the first instance or repeats tokens (P1), and against the first
     * instance cancelling the resumed generation when its resume window of 500 ms ends.
     */
    @Test
    fun `a stream resumes at another instance without lost or repeated tokens`() =
        withDeployment(daemons = 2, gapMillis = 10) {
            val before = stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(200), limit = 10)
            val handle = before.first().field("resumeHandle")
            val after =
                stream(1, HttpMethod.Get, "/v1/generations/$handle", configure = {
                    header("Last-Event-ID", "9")
                })
            assertEquals((0..199).toList(), before.offsets() + after.offsets())
            assertEquals("done", after.last().name)
        }

    /** Guards against access to a generation with a forged handle or from another workspace. */
    @Test
    fun `forged handles and handles of another workspace are rejected`() =
        withDeployment {
            val events = stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(2))
            val handle = events.first().field("resumeHandle")
            val forged = send(0, HttpMethod.Get, "/v1/generations/${handle.dropLast(4)}AAAA")
            val otherWorkspace =
                send(0, HttpMethod.Get, "/v1/generations/$handle") {
                    headers.remove("X-Workspace")
                    header("X-Workspace", "stranger")
                }
            listOf(forged, otherWorkspace).forEach { response ->
                assertEquals(ResultCode.INVALID_RESUME_HANDLE.httpStatus, response.status.value)
                assertTrue(response.bodyAsText().contains("INVALID_RESUME_HANDLE"))
            }
        }

    /** Guards against a graceful shutdown that interrupts a stream or accepts a new request (P8). */
    @Test
    fun `a leaving instance completes its streams and rejects new requests`() =
        withDeployment(gapMillis = 20) {
            coroutineScope {
                val before = engine.started.get()
                val stream = async { stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(100)) }
                while (engine.started.get() == before) delay(10)
                val leaving = async { daemons[0].leave() }
                delay(200)
                val refused = send(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(1))
                assertTrue(refused.bodyAsText().contains("\"code\":${ResultCode.LEAVING.number}"))
                assertFalse(leaving.isCompleted)
                assertEquals((0..99).toList(), stream.await().offsets())
                leaving.await()
            }
        }

    /** Guards against a generation that keeps running and using engine memory after its caller disconnects. */
    @Test
    fun `an abandoned generation is cancelled after the resume window`() =
        withDeployment(gapMillis = 20) {
            stream(0, HttpMethod.Post, Deployment.GENERATIONS, Deployment.generation(500), limit = 3)
            delay(100)
            assertEquals(0, engine.cancelled.size)
            withTimeout(5_000) { while (engine.cancelled.isEmpty()) delay(20) }
        }
}
