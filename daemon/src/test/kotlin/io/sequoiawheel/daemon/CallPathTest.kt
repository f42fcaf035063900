package io.sequoiawheel.daemon

import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CallPathTest {
    private fun deployed(
        daemons: Int = 1,
        block: suspend Deployment.() -> Unit,
    ) = runBlocking {
        withTimeout(60_000) {
            Deployment(daemons).use {
                it.start()
                it.block()
            }
        }
    }

    private suspend fun Deployment.pledge(
        daemon: Int,
        key: String,
        body: String = """{"amount":5}""",
    ) = send(
        daemon,
        HttpMethod.Post,
        "${Deployment.CALLS}/pledge",
        body,
    ) { header("Idempotency-Key", key) }.bodyAsText()

    /** Guards against a call that is billed twice when its caller repeats it at another instance (P6). */
    @Test
    fun `one key runs once at two instances`() =
        deployed(daemons = 2) {
            plain.durationMillis = 200
            val answers =
                coroutineScope { List(6) { index -> async { pledge(index % 2, "key-1") } }.awaitAll() }
            assertEquals(1, plain.runs.get())
            val allowed = setOf(ResultCode.OK, ResultCode.IN_PROGRESS, ResultCode.OK_RECORDED)
            answers.forEach { answer -> assertTrue(allowed.any { "\"code\":${it.number}" in answer }, answer) }
            val recorded =
                withTimeout(5_000) {
                    var answer = pledge(1, "key-1")
                    while ("\"code\":1001" !in answer) {
                        delay(50)
                        answer = pledge(1, "key-1")
                    }
                    answer
                }
            assertTrue("\"amount\":5" in recorded, recorded)
            assertTrue("IDEMPOTENCY_KEY_REUSED" in pledge(0, "key-1", """{"amount":6}"""))
            assertEquals(1, plain.runs.get())
        }

    /** Guards against a call that runs without a claim, or a refusal that claims too little, in an outage (P5, P6). */
    @Test
    fun `without the platform calls that may not repeat are refused and others run`() =
        deployed {
            platform.down = true
            val refused = pledge(0, "key-2")
            assertTrue("CLAIM_STORE_UNAVAILABLE" in refused && "\"work\":\"not run\"" in refused, refused)
            val lookup = send(0, HttpMethod.Post, "${Deployment.CALLS}/lookup", "{}")
            assertEquals(200, lookup.status.value)
            assertEquals(1, plain.runs.get())
        }

    /** Guards against an answer that belongs to another request (P4), and a second run of the call behind it (P6). */
    @Test
    fun `an answer for another request is never handed on`() =
        deployed {
            plain.crossesAnswers = true
            val answer = pledge(0, "key-3")
            assertTrue("ANSWER_MISMATCH" in answer && "\"work\":\"unknown\"" in answer, answer)
            assertEquals(1, plain.runs.get())
            delay(300)
            plain.crossesAnswers = false
            assertTrue("OUTCOME_UNKNOWN" in pledge(0, "key-3"))
            assertEquals(1, plain.runs.get())
        }

    /** Guards against a cut answer that is handed on as the whole one (P4), or runs the call again (P6). */
    @Test
    fun `an answer that breaks off is never handed on as whole`() =
        deployed {
            plain.truncatesAnswers = true
            val answer = pledge(0, "key-5")
            assertTrue("\"work\":\"unknown\"" in answer, answer)
            assertEquals(1, plain.runs.get())
        }

    /** Guards against a key that stays claimed although the backend server proved that nothing ran. */
    @Test
    fun `a call that did not run can be sent again with its key`() =
        deployed {
            plain.refuses = true
            assertTrue("\"work\":\"not run\"" in pledge(0, "key-4"))
            plain.refuses = false
            delay(300)
            assertTrue("\"code\":1000" in pledge(0, "key-4"))
            assertEquals(1, plain.runs.get())
        }
}
