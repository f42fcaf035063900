/*
 * One entry instance as a process. It keeps its addresses over restarts. Everything is done to it from outside, by
 * signals to the process that was started here.
 */
package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.InstanceFault
import io.sequoiawheel.standin.platform.PlatformEntries
import io.sequoiawheel.standin.server.FreePorts
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** The program that the instances run: [jar], with the libraries on its manifest's class path, or the own build. */
class EntryProgram(
    private val jar: Path?,
) {
    /** Returns the command line, with the JVM options of the deployment. */
    fun command(): List<String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val archive = jar?.resolveSibling("sequoiawheel-relay.jsa")?.takeIf { Files.exists(it) }
        val program =
            if (jar == null) {
                listOf("-cp", System.getProperty("java.class.path"), "io.sequoiawheel.relay.MainKt")
            } else {
                listOf("-jar", jar.toString())
            }
        return listOf(java) + OPTIONS + listOfNotNull(archive?.let { "-XX:SharedArchiveFile=$it" }) + program
    }

    private companion object {
        val OPTIONS =
            listOf(
                "-Xmx96m",
                "-Xms24m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:ReservedCodeCacheSize=24m",
                "-Dio.netty.noUnsafe=false",
                "-Dio.netty.allocator.type=unpooled",
            )
    }
}

class EntryProcess(
    val name: String,
    private val program: EntryProgram,
    private val directory: Path,
    storePort: () -> Int,
    private val recorder: Recorder,
    private val zone: String = PlatformEntries.ZONE,
) : AutoCloseable {
    val port = FreePorts.allocate()
    private val readyPort = FreePorts.allocate()
    private val peerPort = FreePorts.allocate()
    private val store = LoopbackProxy(storePort)

    /** The path that callers take. */
    val callerPath = LoopbackProxy { port }
    val storePath get() = store

    @Volatile
    private var process: Process? = null

    /** Whether the end of [process] was asked for. Each start has its own, since an end is reported later. */
    @Volatile
    private var isEndExpected = AtomicBoolean()
    private var starts = 0

    val isAlive: Boolean get() = process?.isAlive == true

    /** Starts the process and returns without waiting for its readiness. */
    fun start() {
        val settings = directory.resolve("$name.json")
        Files.writeString(settings, PlatformEntries.settings(name, port, readyPort, peerPort, store.port, zone))
        val log = directory.resolve("$name-${++starts}.log").toFile()
        val builder = ProcessBuilder(program.command()).redirectErrorStream(true).redirectOutput(log)
        builder.environment()[PlatformEntries.SETTINGS_VARIABLE] = settings.toString()
        val isExpected = AtomicBoolean().also { isEndExpected = it }
        val started = builder.start()
        process = started
        started.onExit().thenAccept {
            if (!isExpected.get()) report("ended by itself with exit code ${it.exitValue()}")
        }
    }

    /** Waits until the process is ready; a process that is not within [READY_MILLIS] is reported as a fault. */
    fun awaitReady(): Boolean {
        val isInTime = poll(READY_MILLIS) { isReady() }
        if (!isInTime && isAlive) report("not ready $READY_MILLIS ms after its start")
        return isInTime
    }

    fun isReady(): Boolean =
        try {
            val connection = URI("http://127.0.0.1:$readyPort/v1/readyz").toURL().openConnection() as HttpURLConnection
            connection.connectTimeout = PROBE_MILLIS
            connection.readTimeout = PROBE_MILLIS
            connection.responseCode == HttpURLConnection.HTTP_OK
        } catch (_: IOException) {
            false
        }

    /** Whether the process accepts connections of callers. */
    fun isListening(): Boolean =
        try {
            Socket().use { it.connect(InetSocketAddress("127.0.0.1", port), PROBE_MILLIS) }
            true
        } catch (_: IOException) {
            false
        }

    /** Sends the signal [signal], by its name without SIG. */
    fun signal(signal: String) {
        if (signal == "TERM" || signal == "KILL") isEndExpected.set(true)
        val target = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", target.pid().toString()).start().waitFor()
    }

    /** Waits for the end of the process until [millis] have passed, and then kills it. */
    fun awaitEnd(millis: Long) {
        val ending = process ?: return
        isEndExpected.set(true)
        if (ending.waitFor(millis, TimeUnit.MILLISECONDS)) return
        ending.destroyForcibly().waitFor()
    }

    override fun close() {
        isEndExpected.set(true)
        process?.destroyForcibly()
        callerPath.close()
        store.close()
    }

    private fun report(detail: String) {
        recorder.instanceFaults += InstanceFault(name, recorder.nowMillis(), detail)
    }

    private companion object {
        /** Several times a start on a machine that is busy with other work. */
        const val READY_MILLIS = 30_000L
        const val PROBE_MILLIS = 500
    }
}

/** Waits until [condition] holds, for [millis] at most. Returns whether it holds. */
internal fun poll(
    millis: Long,
    condition: () -> Boolean,
): Boolean {
    val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
    while (!condition()) {
        if (System.nanoTime() > end) return false
        Thread.sleep(POLL_MILLIS)
    }
    return true
}

private const val POLL_MILLIS = 10L
