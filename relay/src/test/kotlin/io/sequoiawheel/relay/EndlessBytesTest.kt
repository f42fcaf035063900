package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** Replicas that send bytes without end, in a head or a body, until the instance closes the connection. */
class EndlessBytesTest {
    private val fixture = RelayFixture()
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = fixture.close()

    /** Writes [text] again and again until the other side closes. */
    private fun ReplicaAnswer.endless(
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
            // The instance closed the connection, which is what the test waits for.
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

    /** One replica in trouble and one sound one; the first to be asked is in trouble. */
    private fun pair(
        timeoutMillis: Int = 1_000,
        trouble: (ReceivedRequest, ReplicaAnswer) -> Unit,
    ) {
        val first = AtomicLong()
        for (id in listOf("r-1", "r-2")) {
            fixture.replica(id) { request, answer ->
                if (first.compareAndSet(0, 1)) trouble(request, answer) else answer.whole(request, "sound")
            }
        }
        fixture.configure(timeoutMillis = timeoutMillis)
        fixture.start()
    }

    private fun call(path: String): String = fixture.send(fixture.request(path))

    private fun assertServedByTheOther(response: String) {
        assertTrue(response.endsWith("sound"), response.take(300))
        RelayFixture.awaitTrue("the connection is closed") {
            val before = sentBytes.get()
            Thread.sleep(QUIET_MILLIS)
            sentBytes.get() == before
        }
        assertTrue(sentBytes.get() <= ACCEPTED_BYTES) { "${sentBytes.get()} bytes were taken" }
    }

    @Test
    fun `a header line without end goes to another replica`() {
        pair { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\nX-Endless: ")
            answer.endless(FILLER)
        }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `headers without end go to another replica`() {
        pair { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\n")
            answer.endless("X-Endless: again\r\n")
        }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `blank lines without end go to another replica`() {
        pair { _, answer -> answer.endless("\r\n".repeat(512)) }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `informational heads without end go to another replica`() {
        pair { _, answer -> answer.endless("HTTP/1.1 102 Processing\r\n\r\n") }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `a chunk header without end goes to another replica`() {
        pair { request, answer ->
            answer.head(request, "200 OK")
            answer.endless("0".repeat(512))
        }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `trailers without end go to another replica`() {
        pair { request, answer ->
            answer.head(request, "200 OK")
            answer.write("0\r\n")
            answer.endless("X-Endless: again\r\n")
        }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `a body without end is not kept`() {
        pair { request, answer ->
            answer.head(request, "200 OK")
            answer.endless("1000\r\n${"x".repeat(CHUNK)}\r\n")
        }
        assertServedByTheOther(call("/safe/a"))
    }

    @Test
    fun `a refusal with a body without end still proves that nothing ran`() {
        pair { request, answer ->
            answer.head(request, "503 Service Unavailable", "X-Not-Executed: 1\r\n")
            answer.endless("1000\r\n${"x".repeat(CHUNK)}\r\n")
        }
        assertServedByTheOther(call("/unsafe/a"))
    }

    @Test
    fun `a head that comes byte by byte ends the attempt long before the deadline`() {
        pair(timeoutMillis = 4_500) { _, answer ->
            answer.write("HTTP/1.1 200 OK\r\nX-Endless: ")
            answer.endless("x", pauseMillis = 20)
        }
        val startedNanos = System.nanoTime()
        val response = call("/unsafe/a")
        assertEquals("502", response.split(' ')[1])
        assertTrue(System.nanoTime() - startedNanos < HEAD_NANOS)
    }

    /** Serves a stream of events from one engine, of which the first attempt goes wrong after [good] events. */
    private fun stream(
        good: Int,
        trouble: ReplicaAnswer.() -> Unit,
    ): String {
        val first = AtomicLong()
        for (id in listOf("e-1", "e-2", "e-3")) {
            fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
                val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                val isFirst = first.compareAndSet(0, 1)
                answer.beginStream(request)
                for (event in from..EVENTS) {
                    if (isFirst && event > good) answer.trouble()
                    answer.event(event)
                }
                answer.endStream()
            }
        }
        fixture.configure()
        fixture.start()
        return fixture.send(fixture.request("/stream/a", extra = "X-Token-Usage: 3000,900\r\n"))
    }

    private fun assertWhole(response: String) {
        val ids = Regex("id: (\\d+)\ndata").findAll(response).map { it.groupValues[1].toInt() }.toList()
        assertEquals((1..EVENTS).toList(), ids)
        assertTrue(response.endsWith("0\r\n\r\n"))
        assertTrue(sentBytes.get() <= ACCEPTED_BYTES) { "${sentBytes.get()} bytes were taken" }
    }

    @Test
    fun `an event without end is left for the backup`() {
        assertWhole(stream(good = 5) { endless("1000\r\n${"x".repeat(CHUNK)}\r\n") })
    }

    @Test
    fun `events that were sent before, without end, are left for the backup`() {
        assertWhole(stream(good = 5) { endless("15\r\nid: 2\ndata: piece 2\n\n\r\n") })
    }

    private companion object {
        const val FILLER = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
        const val CHUNK = 4_096
        const val EVENTS = 12

        /** The bound of one body, and what the sockets' buffers hold on both sides. */
        const val ACCEPTED_BYTES = 8_388_608L + 8_388_608L
        const val QUIET_MILLIS = 100L

        /** The limit for a head and a second; the route's deadline is later. */
        const val HEAD_NANOS = 3_000_000_000L
    }
}
