package io.sequoiawheel.relay

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Runs an entry instance as a separate process and checks settings, readiness, signals, exit codes and log lines. */
class RelayProcessTest {
    private val fixture = RelayFixture()
    private var process: Process? = null

    @TempDir
    private lateinit var directory: Path

    @AfterEach
    fun close() {
        process?.destroyForcibly()
        fixture.close()
    }

    private fun settings(
        callers: Int,
        readiness: Int,
    ) = RelayChildProcess.settings(fixture, "entry-1", callers, readiness)

    private fun start(settings: String): Process = RelayChildProcess.start(directory, settings).also { process = it }

    private fun logLines(): List<JsonObject> =
        Files.readAllLines(directory.resolve("out")).map { Json.parseToJsonElement(it).jsonObject }

    private fun hasLogLine(message: String) = logLines().any { it["message"]?.jsonPrimitive?.content == message }

    private fun statusOf(port: Int): Int = RelayChildProcess.readiness(port)

    private fun signal(name: String) {
        val kill = ProcessBuilder("kill", "-$name", checkNotNull(process).pid().toString())
        assertEquals(0, kill.start().waitFor())
    }

    @Test
    fun `a process becomes ready, reloads its settings on SIGHUP and shuts down cleanly on SIGTERM`() {
        fixture.replica("r-1") { request, answer -> answer.sendComplete(request, "world") }
        fixture.configure()
        val readiness = FreePorts.allocate()
        val started = start(settings(FreePorts.allocate(), readiness))
        RelayFixture.awaitTrue("the process is ready") { statusOf(readiness) == 200 }
        signal("HUP")
        RelayFixture.awaitTrue("the reload is logged") { hasLogLine("reloaded") }
        signal("TERM")
        RelayFixture.awaitTrue("the process is not ready") { statusOf(readiness) == 503 }
        assertTrue(started.waitFor(9, TimeUnit.SECONDS), "the process ends")
        assertEquals(0, started.exitValue())
        listOf("started", "configuration in force", "leaving", "stopped").forEach {
            assertTrue(hasLogLine(it), "$it is logged")
        }
    }

    // The signal ended the process with code 129, since its handler was installed after the settings were read.
    @Test
    fun `a reload that is requested before the settings are read does not end the process`() {
        fixture.configure()
        val readiness = FreePorts.allocate()
        val settings = settings(FreePorts.allocate(), readiness)
        val file = directory.resolve("node.json")
        assertEquals(0, ProcessBuilder("mkfifo", file.toString()).start().waitFor())
        val started = RelayChildProcess.startWith(directory, file).also { process = it }
        // Opening the pipe returns once the process has opened it to read its settings.
        Files.newOutputStream(file).use { pipe ->
            signal("HUP")
            Thread.sleep(SIGNAL_MILLIS)
            val replacement = Files.writeString(directory.resolve("node.json.new"), settings)
            Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE)
            if (started.isAlive) pipe.write(settings.toByteArray())
        }
        RelayFixture.awaitTrue("the process is ready") { statusOf(readiness) == 200 }
        RelayFixture.awaitTrue("the reload is logged") { hasLogLine("reloaded") }
    }

    // Requests that cross the end of a process were passed on to a replica, and their connection ended unanswered.
    @Test
    fun `each request that reaches a replica around the end of the process is answered`() {
        val replica =
            fixture.replica("r-1") { request, answer ->
                Thread.sleep(CALL_MILLIS)
                answer.sendComplete(request, "world")
            }
        fixture.configure()
        val readiness = FreePorts.allocate()
        val callers = FreePorts.allocate()
        val started = start(settings(callers, readiness))
        RelayFixture.awaitTrue("the process is ready") { statusOf(readiness) == 200 }
        val connections = List(CALLERS) { KeptConnection(Socket("127.0.0.1", callers)) }
        connections.forEachIndexed { index, caller -> assertEquals(200 to "world", caller.call("first-$index")) }
        signal("TERM")
        val answered = ConcurrentHashMap.newKeySet<String>()
        val threads =
            connections.mapIndexed { index, caller ->
                thread {
                    Thread.sleep(FIRST_SEND_MILLIS + index * SEND_INTERVAL_MILLIS)
                    if (caller.call("second-$index") != null) answered += "second-$index"
                }
            }
        threads.forEach { it.join() }
        assertTrue(started.waitFor(9, TimeUnit.SECONDS), "the process ends")
        assertEquals(0, started.exitValue())
        connections.forEach { it.close() }
        val arrived = replica.requests.mapNotNull { it.header("X-Request-Id") }.filter { it.startsWith("second") }
        assertEquals(emptyList<String>(), arrived - answered, "requests without an answer")
        assertTrue(answered.isNotEmpty(), "no request was sent before the connections were closed")
    }

    @Test
    fun `changed settings are applied without a signal and unreadable ones are ignored`() {
        val readiness = FreePorts.allocate()
        val settings = settings(FreePorts.allocate(), readiness)
        fixture.configure()
        start(settings)
        RelayFixture.awaitTrue("the process is ready") { statusOf(readiness) == 200 }
        val file = directory.resolve("node.json")
        Files.writeString(file, "{")
        RelayFixture.awaitTrue("the unreadable file is logged") { hasLogLine("settings unreadable, kept") }
        Files.writeString(file, settings)
        RelayFixture.awaitTrue("the reload is logged") { hasLogLine("reloaded") }
        assertEquals(200, statusOf(readiness))
    }

    @Test
    fun `a missing settings field ends the process with an error that names the field`() {
        val started = start("""{"node":"entry-1"}""")
        assertTrue(started.waitFor(9, TimeUnit.SECONDS))
        assertEquals(100, started.exitValue())
        assertTrue(Files.readString(directory.resolve("err")).contains("'listen'"))
    }

    private companion object {
        const val CALLERS = 90

        /** A signal is handled by a thread of its own within a few milliseconds. */
        const val SIGNAL_MILLIS = 300L
        const val CALL_MILLIS = 20L

        /** From before the connections are closed until after the end of the process. */
        const val FIRST_SEND_MILLIS = 2_350L
        const val SEND_INTERVAL_MILLIS = 5L
    }
}
