package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import io.sequoiawheel.standin.platform.ReplicaStandIn
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

class GenerationRelayTest {
    private val fixture = RelayFixture()
    private val engines = ConcurrentHashMap<String, ReplicaStandIn>()

    @AfterEach
    fun close() = fixture.close()

    /** Adds an engine that streams [EVENTS] events, starting after the request's Last-Event-Id. */
    private fun engine(
        id: String,
        onCopy: () -> Unit = {},
        beforeEvent: (ReceivedRequest, ReplicaAnswer, Int) -> Unit = { _, _, _ -> },
    ) {
        engines[id] =
            fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
                if (request.target == "/v1/kv-move") {
                    onCopy()
                    answer.sendComplete(request, """{"session":"h-1","created":1}""")
                } else {
                    val first = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                    answer.startStream(request)
                    for (event in first..EVENTS) {
                        beforeEvent(request, answer, event)
                        answer.sendEvent(event)
                        Thread.sleep(EVENT_MILLIS)
                    }
                    answer.endStream()
                }
            }
    }

    private fun send(tokens: String = "3000,900") =
        fixture.send(fixture.request("/stream/a", extra = "X-Token-Usage: $tokens\r\n"))

    private fun eventIds(response: String) =
        Regex("id: (\\d+)\ndata: piece \\1\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun assertComplete(response: String) {
        assertEquals((1..EVENTS).toList(), eventIds(response))
        assertTrue(response.endsWith("0\r\n\r\n"), "the stream is not terminated")
    }

    /** Returns the generations that [id] received. */
    private fun generations(id: String) = engines.getValue(id).requests.filter { it.target == "/stream/a" }

    private fun sourceId() = engines.keys.single { id -> generations(id).any { it.header("Kv-From") == null } }

    // Callers got 503 after three replicas that had ended, and were still listed, refused the connection.
    @Test
    fun `a stream passes over replicas that have ended while the store still lists them`() {
        val ended = List(5) { fixture.replica("e-$it", RelayFixture.ENGINE) { _, _ -> } }
        engine("e-5")
        fixture.register("e-5", RelayFixture.ENGINE, engines.getValue("e-5"), state = "ready", zone = "b")
        fixture.configure()
        fixture.start()
        ended.forEach { it.close() }
        assertComplete(send())
    }

    @Test
    fun `a stream is delivered completely`() {
        engine("e-1")
        fixture.configure()
        fixture.start()
        assertComplete(send())
    }

    @Test
    fun `a generation whose connection is reset continues from its backup and delivers each event once`() {
        val broken = ConcurrentHashMap.newKeySet<String>()
        for (id in listOf("e-1", "e-2", "e-3")) {
            engine(id) { request, answer, event ->
                if (event == EVENTS / 2 && request.header("Kv-From") == null && broken.add("once")) answer.reset()
            }
        }
        fixture.configure()
        fixture.start()
        assertComplete(send())
        val source = sourceId()
        val backup = generations(source).single().header("X-Kv-Backup")
        val successor = engines.values.single { it.address == backup }
        val continued = successor.requests.single { it.target == "/stream/a" }
        assertEquals("$backup/id-1", continued.header("Kv-From"))
        assertEquals((EVENTS / 2 - 1).toString(), continued.header("Last-Event-Id"))
    }

    @Test
    fun `a generation moves to another replica when its replica starts draining`() {
        for (id in listOf("e-1", "e-2")) engine(id)
        fixture.configure()
        fixture.start()
        val draining = drainSource()
        assertComplete(send())
        draining.join()
        assertEquals(1, engines.keys.sumOf { id -> generations(id).count { it.header("Kv-From") != null } })
    }

    /** Sets the replica that runs the generation to draining a few events after the start. */
    private fun drainSource() =
        Thread {
            RelayFixture.awaitTrue("the stream has started") { engines.keys.any { generations(it).isNotEmpty() } }
            Thread.sleep(4 * EVENT_MILLIS)
            val source = sourceId()
            fixture.register(source, RelayFixture.ENGINE, engines.getValue(source), state = "draining")
        }.also { it.start() }

    @Test
    fun `a generation whose connection fails before its copy is reported continues from the copy`() {
        val isCopied = AtomicBoolean()
        for (id in listOf("e-1", "e-2")) {
            engine(
                id,
                onCopy = {
                    isCopied.set(true)
                    Thread.sleep(10 * EVENT_MILLIS)
                },
            ) { request, answer, _ -> if (isCopied.get() && request.header("Kv-From") == null) answer.reset() }
        }
        fixture.configure()
        fixture.start()
        val draining = drainSource()
        assertComplete(send(TOO_LARGE_FOR_BACKUP))
        draining.join()
    }

    @Test
    fun `a backup in a zone that was evacuated meanwhile receives no requests`() {
        for (id in listOf("e-1", "e-2")) {
            engine(id) { _, answer, event ->
                if (event == 2) fixture.store.put("evacuations", "b", JsonObject(emptyMap()))
                if (event == EVENTS - 1) answer.reset()
            }
        }
        fixture.register("e-2", RelayFixture.ENGINE, engines.getValue("e-2"), state = "ready", zone = "b")
        fixture.configure()
        fixture.start()
        runCatching { send() }
        assertEquals(engines.getValue("e-2").address, generations("e-1").single().header("X-Kv-Backup"))
        assertEquals(0, generations("e-2").size)
    }

    @Test
    fun `a truncated generation without a copy does not look complete`() {
        engine("e-1") { _, answer, event -> if (event == EVENTS / 2) answer.reset() }
        fixture.configure()
        fixture.start()
        val response = runCatching { send() }.getOrDefault("")
        assertFalse(response.endsWith("0\r\n\r\n"))
        assertEquals(1, generations("e-1").size)
    }

    @Test
    fun `a partial event of a replica is not delivered`() {
        engine("e-1") { _, answer, event ->
            if (event == EVENTS / 2) {
                answer.sendChunk("id: $event\ndata: pie")
                answer.reset()
            }
        }
        fixture.configure()
        fixture.start()
        val response = runCatching { send() }.getOrDefault("")
        assertFalse(response.contains("data: pie\r"), response)
        assertFalse(response.endsWith("0\r\n\r\n"))
    }

    @Test
    fun `a generation that every replica refuses is refused with status 503`() {
        fixture.replica("e-1", RelayFixture.ENGINE) { request, answer -> answer.sendNotExecuted(request) }
        fixture.configure()
        fixture.start()
        assertTrue(send().startsWith("HTTP/1.1 503"))
    }

    @Test
    fun `a generation that cannot finish before shutdown is refused and a short one is served`() {
        engine("e-1")
        fixture.configure()
        fixture.start()
        val shutdown = Thread { runBlocking { fixture.daemon.leave() } }.also { it.start() }
        RelayFixture.awaitTrue("the instance is shutting down") { !fixture.daemon.isReady }
        assertTrue(send(tokens = "3000,900").startsWith("HTTP/1.1 503"))
        assertEquals(0, generations("e-1").size)
        assertComplete(send(tokens = "3000,80"))
        shutdown.join()
    }

    private companion object {
        /** Prompt and output tokens whose backup exceeds the share of an engine's KV cache that backups may use. */
        const val TOO_LARGE_FOR_BACKUP = "20000,9000"

        const val EVENTS = 20
        const val EVENT_MILLIS = 20L
    }
}
