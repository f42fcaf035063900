package io.sequoiawheel.relay

import io.sequoiawheel.relay.StreamFixture.Companion.LAST_EVENT
import io.sequoiawheel.relay.StreamFixture.Companion.NOT_RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.RESUMABLE
import io.sequoiawheel.relay.StreamFixture.Companion.complete
import io.sequoiawheel.relay.StreamFixture.Companion.event
import io.sequoiawheel.relay.StreamFixture.Companion.events
import io.sequoiawheel.relay.StreamFixture.Companion.sendEvents
import io.sequoiawheel.standin.platform.ReceivedRequest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Streams that move while both replicas send, while their caller reads slowly, or whose caller disconnects. */
class StreamMoveTest {
    private val fixture = StreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun nextEvent(request: ReceivedRequest) = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1

    // Guards against events of two replicas that are mixed, or an event that is delivered twice.
    @Test
    fun `an event that two replicas send with different data is delivered once`() {
        val hasSuccessor = CountDownLatch(1)
        fixture.start(
            { request, answer ->
                answer.startStream(request)
                sendEvents(answer, 1..2)
                fixture.drainSource()
                hasSuccessor.await()
                sendEvents(answer, 3..LAST_EVENT - 1)
                Thread.sleep(SETTLE_MILLIS)
                answer.sendChunk(event(LAST_EVENT))
                answer.endStream()
            },
            { request, answer ->
                hasSuccessor.countDown()
                answer.startStream(request)
                for (id in nextEvent(request)..LAST_EVENT) answer.sendChunk("id: $id\ndata: other $id\n\n")
                answer.endStream()
            },
        )
        val received = fixture.send(NOT_RESUMABLE)
        val ids = Regex("id: (\\d+)\ndata: (piece|other) \\1\n\n").findAll(received.body)
        assertEquals((1..LAST_EVENT).toList(), ids.map { it.groupValues[1].toInt() }.toList())
        assertEquals(received.body, ids.joinToString("") { it.value })
        assertTrue(received.isComplete)
    }

    // The refusal was taken for proof that nothing runs, so a generation that runs from its copy was sent once more.
    @Test
    fun `a refusal by the first replica does not restart a generation that continues from a copy`() {
        val hasSuccessor = CountDownLatch(1)
        val hasRefused = CountDownLatch(1)
        fixture.start(
            { request, answer ->
                fixture.drainSource()
                hasSuccessor.await()
                answer.sendNotExecuted(request)
                hasRefused.countDown()
            },
            { request, answer ->
                hasSuccessor.countDown()
                hasRefused.await()
                Thread.sleep(SETTLE_MILLIS)
                complete(request, answer)
            },
            complete,
        )
        val received = fixture.send(NOT_RESUMABLE)
        assertEquals(2, fixture.receivers.size, "replicas that received the generation: ${fixture.receivers}")
        assertEquals(events(1..LAST_EVENT), received.body)
        assertTrue(received.isComplete)
    }

    // The same, where the replica with the copy has broken off: it may have run the generation.
    @Test
    fun `a refusal by the first replica is no proof after a copy was continued and broke off`() {
        val hasBrokenOff = CountDownLatch(1)
        fixture.start(
            { request, answer ->
                fixture.drainSource()
                hasBrokenOff.await()
                Thread.sleep(SETTLE_MILLIS)
                answer.sendNotExecuted(request)
            },
            { _, answer ->
                answer.reset()
                hasBrokenOff.countDown()
            },
            { _, answer ->
                Thread.sleep(LONG_RUN_MILLIS)
                answer.reset()
            },
        )
        val received = fixture.send(NOT_RESUMABLE)
        assertTrue(received.head.startsWith("HTTP/1.1 5"), received.text)
        assertFalse(received.head.startsWith("HTTP/1.1 503"), received.text)
        val continued = fixture.continued.size
        assertEquals(1, fixture.receivers.size - continued, "sends without a copy; with one: $continued")
    }

    // Guards against a successor whose late error or events follow the end of a stream.
    @Test
    fun `a stream whose replica completes it while a successor starts is complete`() {
        val hasSuccessor = CountDownLatch(1)
        fixture.start(
            { request, answer ->
                answer.startStream(request)
                sendEvents(answer, 1..2)
                fixture.drainSource()
                hasSuccessor.await()
                for (id in 3..LAST_EVENT) answer.sendEvent(id)
                answer.endStream()
            },
            { request, answer ->
                hasSuccessor.countDown()
                complete(request, answer)
            },
        )
        val received = fixture.send(NOT_RESUMABLE)
        assertEquals(events(1..LAST_EVENT), received.body)
        assertTrue(received.isComplete)
    }

    // Guards against events that are lost or repeated where the relay holds back events for a slow caller.
    @Test
    fun `a stream that moves while its caller reads slowly is complete`() {
        val text = { id: Int -> "id: $id\ndata: ${id.toString().padEnd(LARGE, 'x')}\n\n" }
        fixture.start(
            { request, answer ->
                answer.startStream(request)
                for (id in 1..LARGE_EVENTS / 2) answer.sendChunk(text(id))
                Thread.sleep(SETTLE_MILLIS)
                answer.reset()
            },
            { request, answer ->
                answer.startStream(request)
                for (id in nextEvent(request)..LARGE_EVENTS) answer.sendChunk(text(id))
                answer.endStream()
            },
        )
        val bytes = ByteArrayOutputStream()
        fixture.relay.connect().use { socket ->
            socket.getOutputStream().write(fixture.relay.request(RESUMABLE).toByteArray())
            Thread.sleep(SLOW_MILLIS)
            try {
                socket.getInputStream().transferTo(bytes)
            } catch (reset: IOException) {
                bytes.flush()
            }
        }
        val received = ReceivedStream(bytes.toString(), isReset = false)
        val ids = Regex("id: (\\d+)\n").findAll(received.body).map { it.groupValues[1].toInt() }.toList()
        assertEquals((1..LARGE_EVENTS).toList(), ids)
        assertTrue(received.isComplete)
    }

    // Guards against a stream that goes on at a replica after its caller has left.
    @Test
    fun `a stream whose caller disconnects ends at its replica and is not continued elsewhere`() {
        val isStopped = CountDownLatch(1)
        val isRunning = AtomicBoolean(true)
        fixture.start({ request, answer ->
            answer.startStream(request)
            try {
                var id = 1
                while (isRunning.get()) {
                    answer.sendEvent(id++)
                    Thread.sleep(EVENT_MILLIS)
                }
            } catch (broken: IOException) {
                isStopped.countDown()
                throw broken
            }
        })
        fixture.relay.connect().use { socket ->
            socket.getOutputStream().write(fixture.relay.request(RESUMABLE).toByteArray())
            socket.getInputStream().read()
        }
        val hasStopped = isStopped.await(STOP_SECONDS, TimeUnit.SECONDS)
        isRunning.set(false)
        assertTrue(hasStopped, "the replica still streams")
        assertEquals(1, fixture.receivers.size)
    }

    // Guards against events without ids that are sent twice.
    @Test
    fun `a stream without ids is not continued`() {
        fixture.start(
            { request, answer ->
                answer.startStream(request)
                answer.sendChunk("data: a\n\n")
                Thread.sleep(SETTLE_MILLIS)
                answer.reset()
            },
            { request, answer ->
                answer.startStream(request)
                answer.sendChunk("data: a\n\n")
                answer.endStream()
            },
        )
        val received = fixture.send(RESUMABLE)
        assertEquals("data: a\n\n", received.body)
        assertFalse(received.isComplete)
        assertEquals(1, fixture.receivers.size)
    }

    // Guards against broken streams that no metric shows.
    @Test
    fun `a response that broke off is counted by its reason`() {
        fixture.start({ request, answer ->
            answer.startStream(request)
            sendEvents(answer, 1..2)
            answer.sendChunk("upstream failed\n\n")
            answer.endStream()
        })
        fixture.send(NOT_RESUMABLE)
        val line = "sequoiawheel_responses_broken_total{reason=\"invalid_stream\"} 1.0"
        RelayFixture.awaitTrue("the broken response is counted") {
            line in
                fixture.relay.daemon.metrics
                    .scrape()
        }
    }

    private companion object {
        /** Longer than the relay takes to read a response of another replica. */
        const val LONG_RUN_MILLIS = 600L

        const val SETTLE_MILLIS = 60L
        const val EVENT_MILLIS = 15L
        const val STOP_SECONDS = 2L
        const val SLOW_MILLIS = 900L
        const val LARGE = 60_000
        const val LARGE_EVENTS = 160
    }
}
