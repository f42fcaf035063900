package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** Tests replicas that send an unbounded head or body until the instance closes the connection. */
class EndlessBytesTest {
    private val fixture = RelayFixture()
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = fixture.close()

    /** Writes [text] repeatedly until the peer closes the connection. */
    private fun ReplicaAnswer.writeEndlessly(
        text: String,
        pauseMillis: Long = 0,
    ) {
        try {
            while (true) {
                write(text)
                sentBytes.addAndGet(text.length.toLong())
                if (pauseMillis > 0) Thread.sleep(pauseMillis)
            }
        } catch (closed: IOException) {
            // Expected: the instance closed the connection.
        }
    }

    private fun ReplicaAnswer.head(
        request: ReceivedRequest,
        status: String,
        headers: String = "X-Response-Signature: signed\r\n",
    ) = write(
        "HTTP/1.1 $status\r\nX-Request-Id: ${request.header("X-Request-Id")}\r\n$headers" +
            "Transfer-Encoding: chunked\r\n\r\n",
    )

    /** Starts two replicas; the first one to receive a request runs [fault], the other responds normally. */
    private fun startPair(
        timeoutMillis: Int = 1_000,
        fault: (ReceivedRequest, ReplicaAnswer) -> Unit,
    ) {
        val first = AtomicLong()
        for (id in listOf("r-1", "r-2")) {
            fixture.replica(id) { request, answer ->
                if (first.compareAndSet(0, 1)) fault(request, answer) else answer.sendComplete(request, "sound")
            }
        }
        fixture.configure(timeoutMillis = timeoutMillis)
        fixture.start()
    }

    private fun call(path: String): String = fixture.send(fixture.request(path))

    private fun assertRetried(response: String) {
        assertTrue(response.endsWith("sound"), response.take(300))
        RelayFixture.awaitTrue("the connection is closed") {
            val before = sentBytes.get()
            Thread.sleep(CLOSE_CHECK_MILLIS)
            sentBytes.get() == before
        }
        assertTrue(sentBytes.get() <= ACCEPTED_BYTES) { "${sentBytes.get()} bytes were accepted" }
    }

    @Test
    fun `a call is retried after an unbounded header line`() {
        startPair { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\nX-Endless: ")
            answer.writeEndlessly(FILLER)
        }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded number of headers`() {
        startPair { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\n")
            answer.writeEndlessly("X-Endless: again\r\n")
        }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded number of blank lines`() {
        startPair { _, answer -> answer.writeEndlessly("\r\n".repeat(512)) }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded number of informational responses`() {
        startPair { _, answer -> answer.writeEndlessly("HTTP/1.1 102 Processing\r\n\r\n") }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded chunk header`() {
        startPair { request, answer ->
            answer.head(request, "200 OK")
            answer.writeEndlessly("0".repeat(512))
        }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded number of trailers`() {
        startPair { request, answer ->
            answer.head(request, "200 OK")
            answer.write("0\r\n")
            answer.writeEndlessly("X-Endless: again\r\n")
        }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a call is retried after an unbounded body`() {
        startPair { request, answer ->
            answer.head(request, "200 OK")
            answer.writeEndlessly("1000\r\n${"x".repeat(CHUNK)}\r\n")
        }
        assertRetried(call("/safe/a"))
    }

    @Test
    fun `a refusal with an unbounded body still proves that nothing ran`() {
        startPair { request, answer ->
            answer.head(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n")
            answer.writeEndlessly("1000\r\n${"x".repeat(CHUNK)}\r\n")
        }
        assertRetried(call("/unsafe/a"))
    }

    @Test
    fun `an attempt whose head arrives byte by byte ends long before the deadline`() {
        startPair(timeoutMillis = 4_500) { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\nX-Endless: ")
            answer.writeEndlessly("x", pauseMillis = 20)
        }
        val startedNanos = System.nanoTime()
        val response = call("/unsafe/a")
        assertEquals("502", response.split(' ')[1])
        assertTrue(System.nanoTime() - startedNanos < HEAD_TIMEOUT_NANOS)
    }

    /** Returns the response to a generation whose first attempt runs [fault] after [eventsBeforeFault] events. */
    private fun stream(
        eventsBeforeFault: Int,
        fault: ReplicaAnswer.() -> Unit,
    ): String {
        val first = AtomicLong()
        for (id in listOf("e-1", "e-2", "e-3")) {
            fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
                val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                val isFirst = first.compareAndSet(0, 1)
                answer.startStream(request)
                for (event in from..EVENTS) {
                    if (isFirst && event > eventsBeforeFault) answer.fault()
                    answer.sendEvent(event)
                }
                answer.endStream()
            }
        }
        fixture.configure()
        fixture.start()
        return fixture.send(fixture.request("/stream/a", extra = "X-Token-Usage: 3000,900\r\n"))
    }

    private fun assertComplete(response: String) {
        val ids = Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()
        assertEquals((1..EVENTS).toList(), ids)
        assertTrue(response.endsWith("0\r\n\r\n"))
        assertTrue(sentBytes.get() <= ACCEPTED_BYTES) { "${sentBytes.get()} bytes were accepted" }
    }

    @Test
    fun `a generation continues from its backup after an unbounded event`() {
        assertComplete(stream(eventsBeforeFault = 5) { writeEndlessly("1000\r\n${"x".repeat(CHUNK)}\r\n") })
    }

    @Test
    fun `a generation continues from its backup after endless repetitions of an old event`() {
        assertComplete(stream(eventsBeforeFault = 5) { writeEndlessly("15\r\nid: 2\ndata: piece 2\n\n\r\n") })
    }

    private companion object {
        const val FILLER = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
        const val CHUNK = 4_096
        const val EVENTS = 12

        /** The size limit of one body, plus the socket buffers on both sides. */
        const val ACCEPTED_BYTES = 8_388_608L + 8_388_608L
        const val CLOSE_CHECK_MILLIS = 100L

        /** The time limit for a head plus one second; the route's deadline is later. */
        const val HEAD_TIMEOUT_NANOS = 3_000_000_000L
    }
}
