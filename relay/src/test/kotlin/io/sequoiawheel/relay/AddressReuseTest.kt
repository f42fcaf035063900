package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CopyOnWriteArrayList

/** Engines whose addresses are used again by other engines after they have ended. */
class AddressReuseTest {
    private val fixture = RelayFixture()

    /** Requests about runs, other than generations, with the engine that they reached. */
    private val runRequests = CopyOnWriteArrayList<Pair<String, ReceivedRequest>>()

    /** Id of the engine that serves the address now. */
    @Volatile
    private var serving = FIRST

    @Volatile
    private var isStopped = false

    @AfterEach
    fun close() = fixture.close()

    /** Answers as the engine that serves the address now, which executes only what is meant for it. */
    private fun respond(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val isRunRequest = request.target.startsWith("/v1/")
        if (isRunRequest) runRequests += serving to request
        val expected = request.header("X-Expect-Instance")
        when {
            expected != null && expected != serving ->
                answer.sendComplete(request, "", "421 Misdirected Request")
            request.target == "/v1/kv-move" -> {
                isStopped = true
                answer.sendComplete(request, """{"session":"h-1","created":4}""")
            }
            isRunRequest -> answer.sendComplete(request, "{}")
            else -> generate(request, answer)
        }
    }

    private fun generate(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val isFirst = serving == FIRST
        val next = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        answer.startStream(request)
        for (event in next..LAST_EVENT) {
            if (isStopped) return answer.reset()
            if (isFirst && event > EVENTS_BEFORE_CRASH) return crash(answer)
            answer.sendEvent(event)
            Thread.sleep(EVENT_MILLIS)
        }
        answer.endStream()
    }

    /** Ends the first engine; its successor starts at the same address. */
    private fun crash(answer: ReplicaAnswer) {
        serving = SUCCESSOR
        fixture.register(SUCCESSOR, RelayFixture.ENGINE, engine, state = "ready", born = 2)
        Thread.sleep(REGISTERED_MILLIS)
        answer.reset()
    }

    private lateinit var engine: ReplicaStandIn

    // The stop for an engine that had crashed ended the run of its successor, to which the generation had gone on.
    @Test
    fun `a stop for an engine that crashed does not end the run of its successor at the same address`() {
        engine = fixture.replica(FIRST, RelayFixture.ENGINE, behaviour = ::respond)
        fixture.configure()
        fixture.start()
        RelayFixture.awaitTrue("the share of the retry budget is known") { fixture.daemon.knowsInstances }
        val text = fixture.send(fixture.request("/resumable/a", extra = "X-Token-Usage: 3000,900\r\n"))
        assertEquals(StreamFixture.events(1..LAST_EVENT), ReceivedStream(text, isReset = false).body)
        RelayFixture.awaitTrue("the run at the first engine was asked to stop") { runRequests.isNotEmpty() }
        Thread.sleep(SETTLE_MILLIS)
        val stops = runRequests.map { (_, request) -> request.header("X-Expect-Instance") }
        // That another engine has the address proves the end of the run, so it is asked once.
        assertEquals(listOf(FIRST), stops)
    }

    // Copies, stops and releases named no engine, and were carried out by whichever had the address.
    @Test
    fun `copies, stops and releases name the engine that they are meant for`() {
        StubbornEngines(StopConduct.PROMPT, emptyList(), setOf(0, 2)).use { engines ->
            engines.start()
            // The first generation moves with a copy, the second one with its backup.
            for ((path, id) in listOf("/resumable/a" to "id-1", "/stream/a" to "id-2")) {
                engines.relay.send(engines.relay.request(path, id, extra = "X-Token-Usage: 3000,900\r\n"))
            }
            RelayFixture.awaitTrue("a copy was released") { engines.releasedCopies.isNotEmpty() }
            val requests = engines.runRequests()
            assertTrue(requests.any { (_, request) -> request.method == "DELETE" })
            assertTrue(requests.any { (_, request) -> "\"last\":true" in request.body })
            assertTrue(requests.any { (_, request) -> request.method == "POST" && "\"last\"" !in request.body })
            for ((engine, request) in requests) assertEquals(engine, request.header("X-Expect-Instance"))
        }
    }

    private companion object {
        const val FIRST = "e-1"
        const val SUCCESSOR = "e-2"
        const val LAST_EVENT = 40
        const val EVENTS_BEFORE_CRASH = 6
        const val EVENT_MILLIS = 20L

        /** Long enough for the entry of the successor to reach the instance. */
        const val REGISTERED_MILLIS = 100L
        const val SETTLE_MILLIS = 500L
    }
}
