package io.sequoiawheel.relay

import io.sequoiawheel.standin.platform.ReceivedRequest
import io.sequoiawheel.standin.platform.ReplicaAnswer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

/** What the log of an entry instance tells of single requests among many, by their ids. */
class RequestTraceLoadTest {
    private val fixture = RelayFixture()
    private val executor = Executors.newFixedThreadPool(CALLERS)
    private var process: Process? = null
    private val refused = ConcurrentHashMap.newKeySet<String>()
    private val strayAnswers = ConcurrentHashMap<String, ReplicaAnswer>()
    private val statuses = ConcurrentHashMap<String, Int>()

    @TempDir
    private lateinit var directory: Path

    @AfterEach
    fun close() {
        process?.destroyForcibly()
        executor.shutdownNow()
        fixture.close()
    }

    // At 300 requests a second, ends of ordinary requests were left out, so that their ids were not found in the log.
    @Test
    fun `the log explains each request among 300 a second`() {
        val callerPort = startInstance()
        callAll(callerPort)
        assertEquals(emptyMap<String, Int>(), statuses.filterValues { it != 200 }, "calls without success")
        val traces = awaitTraces()
        repeat(ROUNDS) { round ->
            checkRefused(traces.getValue("refused-$round"))
            checkSkipping(traces.getValue("skipping-$round"))
            checkStray("stray-$round", traces.getValue("stray-$round"))
        }
        for ((id, trace) in traces.filterKeys { it.startsWith("ordinary") }) {
            val send = trace.single()
            val fields = listOf("purpose", "status", "signed", "own", "idleBytes").map { send.text(it) }
            assertEquals(listOf("first", "200", "true", "true", "0"), fields, id)
        }
    }

    private fun checkRefused(trace: JsonArray) {
        val (first, second) = trace
        assertEquals("503" to "200", first.text("status") to second.text("status"))
        assertEquals("${first.text("replica")} refused with status 503", second.text("cause"))
    }

    private fun checkSkipping(trace: JsonArray) {
        val send = trace.single()
        assertEquals("other_id", send.list("skipped").single().text("reason"))
        assertEquals("200" to "true", send.text("status") to send.text("own"))
    }

    private fun checkStray(
        id: String,
        trace: JsonArray,
    ) {
        val line = linesOf(id).single { it.text("message") == UNEXPECTED }
        val fields = listOf("replica", "connection", "lastRequest", "moment", "text").map { line.text(it) }
        assertEquals(listOf(STRAY, trace.single().text("connection"), id, "idle", STRAY_BYTES), fields)
    }

    /** Starts the replicas and the instance; returns its port when it sends refused requests again. */
    private fun startInstance(): Int {
        repeat(REPLICAS) { fixture.replica("r-$it", behaviour = ::answer) }
        fixture.replica(STRAY, name = STRAY) { request, answer ->
            strayAnswers[request.header("X-Request-Id").orEmpty()] = answer
            answer.sendComplete(request, "world")
        }
        fixture.configureSound(STRAY)
        val callers = FreePorts.allocate()
        val readiness = FreePorts.allocate()
        val settings = RelayChildProcess.settings(fixture, "entry-1", callers, readiness)
        process = RelayChildProcess.start(directory, settings, RelayChildProcess.DEPLOYED_OPTIONS)
        RelayFixture.awaitTrue("the process is ready") { RelayChildProcess.readiness(readiness) == 200 }
        KeptConnection(Socket("127.0.0.1", callers)).use { connection ->
            var calls = 0
            RelayFixture.awaitTrue("the share of the retry budget is known") {
                connection.call("refused-before-${calls++}")?.first == 200
            }
        }
        return callers
    }

    private fun answer(
        request: ReceivedRequest,
        answer: ReplicaAnswer,
    ) {
        val id = request.header("X-Request-Id").orEmpty()
        val isRefused = id.startsWith("refused") && refused.add(id)
        if (id.startsWith("skipping")) answer.write(OTHER_RESPONSE)
        if (isRefused) answer.sendNotExecuted(request) else answer.sendComplete(request, "world")
    }

    private fun callAll(port: Int) {
        val startedNanos = System.nanoTime()
        val callers =
            List(CALLERS) { caller ->
                Callable {
                    KeptConnection(Socket("127.0.0.1", port)).use { connection ->
                        repeat(ROUNDS) { round ->
                            val dueNanos = startedNanos + round * INTERVAL_MILLIS * NANOS_PER_MILLI
                            Thread.sleep(maxOf(0, (dueNanos - System.nanoTime()) / NANOS_PER_MILLI))
                            call(connection, caller, round)
                        }
                    }
                }
            }
        executor.invokeAll(callers).forEach { it.get() }
        println("${statuses.size} requests in ${(System.nanoTime() - startedNanos) / NANOS_PER_MILLI} ms")
    }

    private fun call(
        connection: KeptConnection,
        caller: Int,
        round: Int,
    ) {
        when (caller) {
            0 -> statuses["refused-$round"] = connection.status("refused-$round", "/unsafe/a")
            1 -> statuses["skipping-$round"] = connection.status("skipping-$round", "/unsafe/a")
            2 -> callWithStrayBytes(connection, "stray-$round")
            else -> statuses["ordinary-$caller-$round"] = connection.status("ordinary-$caller-$round", "/unsafe/a")
        }
    }

    /**
     * The replica has no other caller, and its whole response has been received, so that its connection is idle when
     * the bytes are sent. The next call is sent after the instance has logged them.
     */
    private fun callWithStrayBytes(
        connection: KeptConnection,
        id: String,
    ) {
        statuses[id] = connection.status(id, "/sound/a")
        strayAnswers.getValue(id).write(STRAY_BYTES)
        RelayFixture.awaitTrue("the bytes after $id are logged") {
            texts().any { "\"$UNEXPECTED\"" in it && "\"$id\"" in it }
        }
    }

    private fun KeptConnection.status(
        id: String,
        path: String,
    ): Int {
        send(id, path)
        return receive()?.first ?: 0
    }

    /** The complete lines of the process so far. */
    private fun texts(): List<String> = Files.readString(directory.resolve("out")).substringBeforeLast('\n', "").lines()

    private fun linesOf(id: String): List<JsonObject> =
        texts().filter { "\"$id\"" in it }.map { Json.parseToJsonElement(it).jsonObject }

    /** Waits for the line of the end of each request and returns the sends in it by the request's id. */
    private fun awaitTraces(): Map<String, JsonArray> {
        fun ends() = texts().filter { "\"request ended\"" in it }.map { Json.parseToJsonElement(it).jsonObject }

        fun missing() = statuses.keys - ends().map { it.text("request") }.toSet()
        val endNanos = System.nanoTime() + LOG_MILLIS * NANOS_PER_MILLI
        while (missing().isNotEmpty() && System.nanoTime() < endNanos) Thread.sleep(INTERVAL_MILLIS)
        val omitted = texts().filter { "\"log lines omitted\"" in it }
        assertEquals(emptySet<String>(), missing()) { "requests without a line of their end; $omitted" }
        return ends()
            .groupBy { it.text("request").orEmpty() }
            .filterKeys { statuses.containsKey(it) }
            .mapValues { (_, lines) -> lines.single().list("trace") }
    }

    private companion object {
        const val REPLICAS = 3
        const val CALLERS = 30
        const val ROUNDS = 50

        /** 300 requests a second of all callers. */
        const val INTERVAL_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L

        /** Time until the line of a request that has ended is written. */
        const val LOG_MILLIS = 5_000L

        /** The replica that sends bytes without a request, and its service. */
        const val STRAY = "stray"
        const val STRAY_BYTES = "HTTP/1.1 2"
        const val UNEXPECTED = "bytes without a request"
        const val OTHER_RESPONSE =
            "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: another\r\nX-Response-Signature: signed\r\n" +
                "Content-Length: 5\r\n\r\nother"
    }
}
