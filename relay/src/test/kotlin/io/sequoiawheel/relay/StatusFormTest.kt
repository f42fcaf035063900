package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Replicas in trouble whose responses are whole, but for a status that is not one of the protocol. */
class StatusFormTest {
    private val fixture = RelayFixture()
    private val ids = AtomicInteger()
    private val ran = CopyOnWriteArrayList<String>()

    @AfterEach
    fun close() = fixture.close()

    private fun ReplicaAnswer.sendForm(
        request: ReceivedRequest,
        form: String,
        body: String = BODY,
    ) = write(
        "HTTP/1.1 $form\r\nX-Request-Id: ${request.header("X-Request-Id")}\r\nX-Response-Signature: signed\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body",
    )

    /** Starts [count] replicas, each of which answers every second request with [form]. */
    private fun startCalls(
        form: String,
        count: Int,
    ) {
        val calls = AtomicInteger()
        for (number in 1..count) {
            fixture.replica("r-$number") { request, answer ->
                ran += request.header("X-Request-Id").orEmpty()
                if (calls.incrementAndGet() % 2 ==
                    0
                ) {
                    answer.sendForm(request, form)
                } else {
                    answer.sendComplete(request, "good")
                }
            }
        }
        fixture.configure()
        fixture.start()
    }

    private fun call(path: String) = fixture.send(fixture.request(path, "id-${ids.incrementAndGet()}"))

    // A status with a sign or more digits was read as a number and passed on, one of 600 or more as it was.
    @ParameterizedTest
    @MethodSource("forms")
    fun `a call that may run once is answered 502, on new and on kept connections`(form: String) {
        startCalls(form, count = 1)
        repeat(ROUNDS) {
            assertTrue(call("/unsafe/a").startsWith("HTTP/1.1 200"))
            val failed = call("/unsafe/a")
            assertEquals("HTTP/1.1 502", failed.take(STATUS_END), failed)
            assertFalse(BODY in failed, failed)
        }
        assertEquals(2 * ROUNDS, ran.size)
        assertEquals(2 * ROUNDS, ran.toSet().size, "each ran once")
    }

    // The same; the response counted as one, and the call was not sent to the other replica.
    @ParameterizedTest
    @MethodSource("forms")
    fun `a call that may be repeated is answered by another replica`(form: String) {
        startCalls(form, count = 2)
        repeat(ROUNDS) {
            val response = call("/safe/a")
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("good"), response)
        }
        assertTrue(ran.size > ROUNDS, "no call was sent again")
    }

    @ParameterizedTest
    @MethodSource("forms")
    fun `a stream that may be resumed is answered by another engine, one that may not 502`(form: String) {
        val generations = AtomicInteger()
        for (id in StreamFixture.ENGINES) {
            fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
                when {
                    request.target == "/v1/kv-move" -> answer.sendComplete(request, "{}", "404 Not Found")
                    generations.incrementAndGet() % 2 == 1 -> answer.sendForm(request, form, StreamFixture.events(1..1))
                    else -> StreamFixture.complete(request, answer)
                }
            }
        }
        fixture.configure()
        fixture.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { fixture.daemon.knowsInstances }
        val resumed = ReceivedStream(call(RESUMABLE), isReset = false)
        assertTrue(resumed.head.startsWith("HTTP/1.1 200"), resumed.text)
        assertEquals(StreamFixture.events(1..StreamFixture.LAST_EVENT), resumed.body)
        val failed = call(NOT_RESUMABLE)
        assertEquals("HTTP/1.1 502", failed.take(STATUS_END), failed)
    }

    // The handle in the response was used for the continuation.
    @ParameterizedTest
    @MethodSource("forms")
    fun `a copy whose response has such a status is not used`(form: String) {
        StreamFixture().use { streams ->
            val script: StreamScript = { request, answer ->
                answer.startStream(request)
                val next = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                StreamFixture.sendEvents(answer, next..2)
                if (next == 1) streams.drainSource()
                StreamFixture.sendEvents(answer, maxOf(next, 3)..StreamFixture.LAST_EVENT + MORE_EVENTS)
                answer.endStream()
            }
            streams.copyStatus = form
            streams.start(script)
            val received = streams.send(RESUMABLE)
            assertEquals(StreamFixture.events(1..StreamFixture.LAST_EVENT + MORE_EVENTS), received.body)
            assertEquals(emptyList<String>(), streams.continued.toList())
        }
    }

    @Test
    fun `statuses of the protocol reach the caller as they are`() {
        val status = AtomicInteger()
        fixture.replica("r-1") { request, answer -> answer.sendForm(request, "${status.get()} Text") }
        fixture.configure()
        fixture.start()
        for (code in listOf(200, 201, 299, 400, 404, 410, 451, 500, 501, 599)) {
            status.set(code)
            assertEquals("HTTP/1.1 $code", call("/unsafe/a").take(STATUS_END))
        }
    }

    private companion object {
        const val BODY = "of a replica in trouble"
        const val STATUS_END = 12
        const val ROUNDS = 2
        const val MORE_EVENTS = 20

        @JvmStatic
        fun forms() =
            listOf(
                "000 OK",
                "000",
                "0 OK",
                "00 OK",
                "20 OK",
                "2 OK",
                "99 OK",
                "099 OK",
                "0200 OK",
                "00200 OK",
                "+200 OK",
                "-200 OK",
                "+20 OK",
                "2000 OK",
                "600 OK",
                "777 OK",
                "999 OK",
                "200.0 OK",
                "2e2 OK",
                "0xC8 OK",
                "2OO OK",
                "OK",
                "OK 200",
                "200OK",
                "200,200 OK",
                "",
                " ",
            )
    }
}
