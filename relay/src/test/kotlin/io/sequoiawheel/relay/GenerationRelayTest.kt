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

    /** Adds an engine that streams [EVENTS] events, resuming after the last one that the request names. */
    private fun engine(
        id: String,
        duringCopy: () -> Unit = {},
        before: (ReceivedRequest, ReplicaAnswer, Int) -> Unit = { _, _, _ -> },
    ) {
        engines[id] =
            fixture.replica(id, RelayFixture.ENGINE) { request, answer ->
                if (request.target == "/v1/kv-move") {
                    duringCopy()
                    answer.whole(request, """{"session":"h-1","created":1}""")
                } else {
                    val first = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                    answer.beginStream(request)
                    for (event in first..EVENTS) {
                        before(request, answer, event)
                        answer.event(event)
                        Thread.sleep(EVENT_MILLIS)
                    }
                    answer.endStream()
                }
            }
    }

    private fun send(tokens: String = "3000,900") =
        fixture.send(fixture.request("/stream/a", extra = "X-Token-Usage: $tokens\r\n"))

    private fun idsOf(response: String) =
        Regex("id: (\\d+)\ndata: piece \\1\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

    private fun assertWhole(response: String) {
        assertEquals((1..EVENTS).toList(), idsOf(response))
        assertTrue(response.endsWith("0\r\n\r\n"), "the stream has its end")
    }

    /** Returns the generations that [id] received. */
    private fun generations(id: String) = engines.getValue(id).requests.filter { it.target == "/stream/a" }

    private fun sourceId() = engines.keys.single { id -> generations(id).any { it.header("Kv-From") == null } }

    @Test
    fun `a stream arrives whole`() {
        engine("e-1")
        fixture.configure()
        fixture.start()
        assertWhole(send())
    }

    @Test
    fun `a generation whose replica breaks off goes on from its backup, each event once`() {
        val broken = ConcurrentHashMap.newKeySet<String>()
        for (id in listOf("e-1", "e-2", "e-3")) {
            engine(id) { request, answer, event ->
                if (event == EVENTS / 2 && request.header("Kv-From") == null && broken.add("once")) answer.reset()
            }
        }
        fixture.configure()
        fixture.start()
        assertWhole(send())
        val source = sourceId()
        val backup = generations(source).single().header("X-Kv-Backup")
        val successor = engines.values.single { it.address == backup }
        val resumed = successor.requests.single { it.target == "/stream/a" }
        assertEquals("$backup/id-1", resumed.header("Kv-From"))
        assertEquals((EVENTS / 2 - 1).toString(), resumed.header("Last-Event-Id"))
    }

    @Test
    fun `a generation whose replica is told to leave moves, and its replica stops`() {
        for (id in listOf("e-1", "e-2")) engine(id)
        fixture.configure()
        fixture.start()
        val leaves = sourceLeaves()
        assertWhole(send())
        leaves.join()
        assertEquals(1, engines.keys.sumOf { id -> generations(id).count { it.header("Kv-From") != null } })
    }

    /** Tells the replica that runs the generation to leave, some events after its start. */
    private fun sourceLeaves() =
        Thread {
            RelayFixture.awaitTrue("the stream runs") { engines.keys.any { generations(it).isNotEmpty() } }
            Thread.sleep(4 * EVENT_MILLIS)
            val source = sourceId()
            fixture.register(source, RelayFixture.ENGINE, engines.getValue(source), state = "draining")
        }.also { it.start() }

    @Test
    fun `a generation whose connection breaks before its copy is reported goes on from the copy`() {
        val isCopied = AtomicBoolean()
        for (id in listOf("e-1", "e-2")) {
            engine(
                id,
                duringCopy = {
                    isCopied.set(true)
                    Thread.sleep(10 * EVENT_MILLIS)
                },
            ) { request, answer, _ -> if (isCopied.get() && request.header("Kv-From") == null) answer.reset() }
        }
        fixture.configure()
        fixture.start()
        val leaves = sourceLeaves()
        assertWhole(send(TOO_LARGE_FOR_BACKUP))
        leaves.join()
    }

    @Test
    fun `a backup in a zone that was taken out meanwhile receives nothing`() {
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
    fun `a generation without a copy that is cut in the middle does not look complete`() {
        engine("e-1") { _, answer, event -> if (event == EVENTS / 2) answer.reset() }
        fixture.configure()
        fixture.start()
        val response = runCatching { send() }.getOrDefault("")
        assertFalse(response.endsWith("0\r\n\r\n"))
        assertEquals(1, generations("e-1").size)
    }

    @Test
    fun `a replica that stops in the middle of an event delivers only whole events`() {
        engine("e-1") { _, answer, event ->
            if (event == EVENTS / 2) {
                answer.chunk("id: $event\ndata: pie")
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
    fun `a generation that no replica runs is refused as not run`() {
        fixture.replica("e-1", RelayFixture.ENGINE) { request, answer -> answer.notRun(request) }
        fixture.configure()
        fixture.start()
        assertTrue(send().startsWith("HTTP/1.1 503"))
    }

    @Test
    fun `a generation that cannot end before the process does is refused, a short one is served`() {
        engine("e-1")
        fixture.configure()
        fixture.start()
        val leaving = Thread { runBlocking { fixture.daemon.leave() } }.also { it.start() }
        RelayFixture.awaitTrue("the instance leaves") { !fixture.daemon.isReady }
        assertTrue(send(tokens = "3000,900").startsWith("HTTP/1.1 503"))
        assertEquals(0, generations("e-1").size)
        assertWhole(send(tokens = "3000,80"))
        leaving.join()
    }

    private companion object {
        /** Prompt and output whose backup would take more of an engine's memory than backups may. */
        const val TOO_LARGE_FOR_BACKUP = "20000,9000"

        const val EVENTS = 20
        const val EVENT_MILLIS = 20L
    }
}
