package io.sequoiawheel.relay

import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path

/**
 * An instance as a process with the heap of a deployed one, whose collections are logged. Its folder below [directory]
 * holds its settings, output and errors.
 */
internal class DeployedInstance(
    private val fixture: RelayFixture,
    directory: Path,
    name: String,
    private val adjust: (String) -> String = { it },
) {
    private val readiness = FreePorts.allocate()
    private val callers = FreePorts.allocate()
    private val folder = Files.createDirectory(directory.resolve(name))
    private val collections = folder.resolve("collections")
    private val settings = adjust(RelayChildProcess.settings(fixture, name, callers, readiness))
    private var process = launch()

    val isReady: Boolean get() = RelayChildProcess.readiness(readiness) == 200

    private fun launch() =
        RelayChildProcess.start(
            folder,
            settings,
            RelayChildProcess.DEPLOYED_OPTIONS + "-Xlog:gc:file=$collections:uptime:filecount=0",
        )

    /** Starts the process again after [kill]. */
    fun start() {
        process = launch()
    }

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends a call and returns the status and the body, or the error in place of a status. */
    fun call(
        path: String,
        id: String = "id-1",
        key: String = "key-1",
    ): Pair<String, String> =
        Socket("127.0.0.1", callers).use { socket ->
            socket.soTimeout = CALL_MILLIS
            socket.getOutputStream().write(fixture.request(path, id, key).toByteArray())
            runCatching { String(socket.getInputStream().readBytes()) }.fold(
                { it.split(' ').getOrElse(1) { "closed" } to it.substringAfterLast("\r\n") },
                { it.toString() to "" },
            )
        }

    fun status(path: String): String = call(path).first

    /** Returns the heap that was in use after each full collection of the last process, in MiB. */
    fun heapAfterFullCollections(): List<Int> =
        Files.readAllLines(collections).mapNotNull { line ->
            FULL_COLLECTION
                .find(line)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        }

    fun output(): String = Files.readString(folder.resolve("out"))

    fun errors(): String = Files.readString(folder.resolve("err"))

    companion object {
        /** Two thirds of the heap. */
        const val HEAP_LIMIT_MEBIBYTES = 64
        private const val CALL_MILLIS = 3_000
        private val FULL_COLLECTION = Regex("""Pause Full .*->(\d+)M\(""")
    }
}
