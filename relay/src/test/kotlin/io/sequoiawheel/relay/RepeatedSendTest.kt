package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A request that is sent to a replica twice, by the instance or by its caller. When it arrives again, the replica first
 * writes a second response that names it on all of its idle connections.
 */
class RepeatedSendTest {
    private val fixture = RelayFixture()
    private val earlierAnswers = CopyOnWriteArrayList<ReplicaAnswer>()
    private val bothOpen = CyclicBarrier(EARLIER_REQUESTS)
    private val runs = AtomicInteger()

    @AfterEach
    fun close() = fixture.close()

    private fun respond(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
        firstStatus: String,
    ) {
        when {
            request.header("X-Request-Id") != REPEATED -> {
                bothOpen.await(BARRIER_SECONDS, TimeUnit.SECONDS)
                // The caller may have the response before the thread that sends it goes on.
                earlierAnswers += answer
                sendSuccess(request, answer)
            }

            runs.incrementAndGet() == 1 -> {
                if (firstStatus == REFUSED) answer.sendNotExecuted(request) else sendFailure(request, answer)
            }

            else -> {
                earlierAnswers.forEach { sendSuccess(request, it) }
                Thread.sleep(PAUSE_MILLIS)
                sendFailure(request, answer)
            }
        }
    }

    private fun sendSuccess(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        if (!request.target.startsWith("/stream")) return answer.sendComplete(request, "early")
        answer.startStream(request)
        answer.sendEvent(1)
        answer.endStream()
    }

    private fun sendFailure(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) = answer.sendComplete(request, FAILURE, "500 Internal Server Error")

    private fun send(
        path: String,
        id: String,
    ): ReceivedStream = fixture.receive(fixture.request(path, id, extra = "X-Token-Usage: 300,90\r\n"))

    // A request that a replica had refused came back to it on another connection, whose late response to it was
    // delivered (soak seed 59112).
    @ParameterizedTest
    @CsvSource(
        "/unsafe/a, $REFUSED",
        "/unsafe/a, $FAILED",
        "/safe/a, $REFUSED",
        "/safe/a, $FAILED",
        "/stream/a, $REFUSED",
        "/stream/a, $FAILED",
    )
    fun `a request that returns to a replica takes no response that was sent on another connection`(
        path: String,
        firstStatus: String,
    ) {
        val service = if (path.startsWith("/stream")) RelayFixture.ENGINE else RelayFixture.PLAIN
        fixture.replica("r-1", service) { request, answer -> respond(request, answer, firstStatus) }
        fixture.configure()
        fixture.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { fixture.daemon.knowsInstances }
        List(EARLIER_REQUESTS) { thread { send(path, "earlier-$it") } }.forEach { it.join() }
        assertEquals(EARLIER_REQUESTS, earlierAnswers.size)
        repeat(2) {
            if (runs.get() > 1) return@repeat
            val received = send(path, REPEATED).text
            assertTrue(!received.startsWith("HTTP/1.1 2"), received)
        }
        assertEquals(2, runs.get())
    }

    private companion object {
        const val EARLIER_REQUESTS = 2
        const val BARRIER_SECONDS = 5L
        const val REPEATED = "repeated"
        const val REFUSED = "503"
        const val FAILED = "500"
        const val FAILURE = "failed!"

        /** Long enough for the responses on the other connections to arrive first. */
        const val PAUSE_MILLIS = 30L
    }
}
