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
    private fun withDeployment(
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

    private suspend fun Deployment.sendPledge(
        daemon: Int,
        key: String,
        body: String = """{"amount":5}""",
    ) = send(
        daemon,
        HttpMethod.Post,
        "${Deployment.CALLS}/pledge",
        body,
    ) { header("Idempotency-Key", key) }.bodyAsText()

    /** Guards against a call that runs twice when its caller retries it at another instance (P6). */
    @Test
    fun `concurrent calls with one key at two instances run once`() =
        withDeployment(daemons = 2) {
            plain.durationMillis = 200
            val answers =
                coroutineScope { List(6) { index -> async { sendPledge(index % 2, "key-1") } }.awaitAll() }
            assertEquals(1, plain.runs.get())
            val allowed = setOf(ResultCode.OK, ResultCode.IN_PROGRESS, ResultCode.OK_RECORDED)
            answers.forEach { answer -> assertTrue(allowed.any { "\"code\":${it.number}" in answer }, answer) }
            val recorded =
                withTimeout(5_000) {
                    var answer = sendPledge(1, "key-1")
                    while ("\"code\":1001" !in answer) {
                        delay(50)
                        answer = sendPledge(1, "key-1")
                    }
                    answer
                }
            assertTrue("\"amount\":5" in recorded, recorded)
            assertTrue("IDEMPOTENCY_KEY_REUSED" in sendPledge(0, "key-1", """{"amount":6}"""))
            assertEquals(1, plain.runs.get())
        }

    /** Guards against an unclaimed run in an outage, or a rejection that does not state that nothing ran (P5, P6). */
    @Test
    fun `a platform outage rejects non-idempotent calls and lets idempotent ones run`() =
        withDeployment {
            platform.isUnavailable = true
            val refused = sendPledge(0, "key-2")
            assertTrue("CLAIM_STORE_UNAVAILABLE" in refused && "\"work\":\"not run\"" in refused, refused)
            val lookup = send(0, HttpMethod.Post, "${Deployment.CALLS}/lookup", "{}")
            assertEquals(200, lookup.status.value)
            assertEquals(1, plain.runs.get())
        }

    /** Guards against an answer delivered to the wrong request (P4) and a second run of the mismatched call (P6). */
    @Test
    fun `an answer for another request is not returned to the caller`() =
        withDeployment {
            plain.returnsOtherRequestId = true
            val answer = sendPledge(0, "key-3")
            assertTrue("ANSWER_MISMATCH" in answer && "\"work\":\"unknown\"" in answer, answer)
            assertEquals(1, plain.runs.get())
            delay(300)
            plain.returnsOtherRequestId = false
            assertTrue("OUTCOME_UNKNOWN" in sendPledge(0, "key-3"))
            assertEquals(1, plain.runs.get())
        }

    /** Guards against a truncated answer that is returned as complete (P4) or makes the call run again (P6). */
    @Test
    fun `a truncated answer is not returned as complete`() =
        withDeployment {
            plain.truncatesAnswers = true
            val answer = sendPledge(0, "key-5")
            assertTrue("\"work\":\"unknown\"" in answer, answer)
            assertEquals(1, plain.runs.get())
        }

    /** Guards against a key that stays claimed although the backend server proved that the call did not run. */
    @Test
    fun `a call that did not run can be retried with its key`() =
        withDeployment {
            plain.rejectsCalls = true
            assertTrue("\"work\":\"not run\"" in sendPledge(0, "key-4"))
            plain.rejectsCalls = false
            delay(300)
            assertTrue("\"code\":1000" in sendPledge(0, "key-4"))
            assertEquals(1, plain.runs.get())
        }
}
