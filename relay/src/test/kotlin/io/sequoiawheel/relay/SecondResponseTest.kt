package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A replica that responds to a request a second time, whole or cut at any byte. The next request on the connection
 * fails at the replica; its caller receives that failure, or one of the instance.
 */
class SecondResponseTest {
    /** When the second response is written. */
    internal enum class Moment { WITH_FIRST, WITH_NEXT, BEFORE_NEXT }

    private val fixture = RelayFixture()
    private val ran = CopyOnWriteArrayList<String>()

    @Volatile
    private var second = ""

    @AfterEach
    fun close() = fixture.close()

    private fun start(
        service: String,
        moment: Moment,
    ) {
        fixture.replica("r-1", service) { request, answer -> respond(request, answer, moment) }
        fixture.configure()
        fixture.start()
    }

    private fun respond(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
        moment: Moment,
    ) {
        val id = request.header("X-Request-Id").orEmpty()
        ran += id
        if (!id.startsWith(NEXT)) {
            answer.write(success(request) + if (moment == Moment.WITH_FIRST) second else "")
            return
        }
        val failure = response("500 Internal Server Error", id, "Content-Length: ${FAILURE.length}\r\n\r\n$FAILURE")
        when (moment) {
            Moment.WITH_FIRST -> {
                answer.write(failure)
            }

            Moment.WITH_NEXT -> {
                answer.write(second + failure)
            }

            Moment.BEFORE_NEXT -> {
                answer.write(second)
                Thread.sleep(PAUSE_MILLIS)
                answer.write(failure)
            }
        }
    }

    private fun response(
        status: String,
        id: String,
        rest: String,
    ) = "HTTP/1.1 $status\r\nX-Request-Id: $id\r\nX-Response-Signature: $id\r\n$rest"

    private fun success(request: ReceivedRequest): String {
        val id = request.header("X-Request-Id").orEmpty()
        val events = "id: 1\ndata: a\n\n"
        return if (request.target.startsWith("/stream/")) {
            val chunks = "${events.length.toString(HEX)}\r\n$events\r\n0\r\n\r\n"
            response("200 OK", id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n$chunks")
        } else {
            response("200 OK", id, "Content-Length: 5\r\n\r\nearly")
        }
    }

    private fun send(
        path: String,
        id: String,
    ): ReceivedStream = fixture.receive(fixture.request(path, id, extra = "X-Token-Usage: 300,90\r\n"))

    /** Returns what is wrong with the response [received] to [id], or null. */
    private fun faultOf(
        received: ReceivedStream,
        id: String,
    ): String? {
        val status =
            received.head
                .substringBefore("\r\n")
                .split(' ')
                .getOrNull(1)
                ?.toInt() ?: return null
        val isSigned = "X-Response-Signature: $id\r\n" in received.head
        return when {
            isSigned && status == FAILED && received.text.endsWith("\r\n\r\n$FAILURE") -> null
            "X-Response-Signature" in received.head -> "a signature on ${received.text}"
            status in REFUSALS && id in ran -> "a refusal of a request that ran: ${received.text}"
            status < FAILED -> "a success: ${received.text}"
            else -> null
        }
    }

    private fun assertOwnFailures(
        path: String,
        seconds: (String) -> List<String>,
    ) {
        val faults = ArrayList<String>()
        val whole = seconds("first")
        whole.indices.forEach { index ->
            second = seconds("first-$index")[index]
            send(path, "first-$index")
            val received = send(path, "$NEXT-$index")
            faultOf(received, "$NEXT-$index")?.let { faults += "$it after '$second'" }
        }
        assertTrue(faults.isEmpty()) { "${faults.size} of ${whole.size} cases: ${faults.first()}" }
        if (path.startsWith("/safe/")) return
        assertEquals(emptyMap<String, Int>(), ran.groupingBy { it }.eachCount().filterValues { it > 1 })
    }

    private fun cuts(text: String) = (0..text.length).map { text.take(it) }

    private fun secondSuccess(id: String) = cuts(response("200 OK", id, "Content-Length: 5\r\n\r\nearly"))

    private fun secondRefusal(id: String) =
        cuts("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: $id\r\nContent-Length: 0\r\n\r\n")

    // A call that a replica had failed succeeded with the body of the failure.
    @ParameterizedTest
    @EnumSource
    internal fun `a call fails whatever a second response to the one before it looks like`(moment: Moment) {
        start(RelayFixture.PLAIN, moment)
        assertOwnFailures("/unsafe/a", ::secondSuccess)
    }

    // A call that may be sent again takes the failure of its last run.
    @ParameterizedTest
    @EnumSource
    internal fun `a repeatable call fails whatever a second response to the one before it looks like`(moment: Moment) {
        start(RelayFixture.PLAIN, moment)
        assertOwnFailures("/safe/a", ::secondSuccess)
    }

    // A call that had run was refused, or ran again.
    @ParameterizedTest
    @EnumSource
    internal fun `a second response that refuses is not taken for a refusal of the next call`(moment: Moment) {
        start(RelayFixture.PLAIN, moment)
        assertOwnFailures("/unsafe/a", ::secondRefusal)
    }

    // A stream that a replica had failed began with the head of another one.
    @ParameterizedTest
    @EnumSource
    internal fun `a stream fails whatever a second response to the one before it looks like`(moment: Moment) {
        start(RelayFixture.ENGINE, moment)
        assertOwnFailures("/stream/a", ::secondSuccess)
    }

    private companion object {
        const val NEXT = "next"
        const val FAILURE = "failed!"
        const val FAILED = 500
        val REFUSALS = setOf(408, 421, 429, 503)
        const val HEX = 16

        /** Long enough to be received on its own. */
        const val PAUSE_MILLIS = 3L
    }
}
