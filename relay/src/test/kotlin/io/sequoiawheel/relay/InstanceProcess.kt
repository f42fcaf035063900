package io.sequoiawheel.relay

import java.nio.file.Path

/** An instance as a process of its own, which a test starts once and which ends with the test. */
internal class InstanceProcess(
    private val fixture: RelayFixture,
) : AutoCloseable {
    private lateinit var process: Process

    /** The port on which the instance accepts callers. */
    val callers = FreePorts.allocate()

    val isAlive: Boolean get() = process.isAlive
    val pid: Long get() = process.pid()

    /** Starts the instance and returns when it is ready. Its settings, output and errors are in [directory]. */
    fun start(
        directory: Path,
        options: List<String> = RelayChildProcess.DEPLOYED_OPTIONS,
        limits: String = RelayChildProcess.LIMITS,
    ) {
        val readiness = FreePorts.allocate()
        val settings = RelayChildProcess.settings(fixture, "entry-1", callers, readiness, limits)
        process = RelayChildProcess.start(directory, settings, options)
        RelayFixture.awaitTrue("the instance is ready") { RelayChildProcess.readiness(readiness) == 200 }
    }

    override fun close() {
        if (::process.isInitialized) process.destroyForcibly().waitFor()
    }
}
