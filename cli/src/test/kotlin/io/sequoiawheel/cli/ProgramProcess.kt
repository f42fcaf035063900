package io.sequoiawheel.cli

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** The command line as a process of its own, with its output in files. */
internal class ProgramProcess(
    directory: Path,
    name: String,
    vararg arguments: String,
) : AutoCloseable {
    private val output: File = directory.resolve("$name.out").toFile()
    private val errors: File = directory.resolve("$name.err").toFile()
    private val process: Process =
        ProcessBuilder(
            listOf(java, "-Xmx256m", "-cp", System.getProperty("java.class.path"), "io.sequoiawheel.cli.MainKt") +
                arguments,
        ).redirectOutput(output).redirectError(errors).start()

    /** Waits until a line of standard output matches [pattern] and returns the match. */
    fun awaitLine(pattern: Regex): MatchResult {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_SECONDS)
        while (System.nanoTime() < deadline) {
            pattern.find(output.readText())?.let { return it }
            check(process.isAlive) { "the process ended with ${process.exitValue()}: ${errors.readText()}" }
            Thread.sleep(POLL_MILLIS)
        }
        error("no line like $pattern in ${output.readText()} ${errors.readText()}")
    }

    /** Sends SIGTERM. */
    fun terminate() = process.destroy()

    /** Waits for the end of the process and returns its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(STARTUP_SECONDS, TimeUnit.SECONDS)) { "the process did not end" }
        return process.exitValue()
    }

    /** Returns what the process wrote to standard error. */
    fun errorText(): String = Files.readString(errors.toPath())

    override fun close() {
        process.destroyForcibly()
    }

    private companion object {
        const val STARTUP_SECONDS = 60L
        const val POLL_MILLIS = 100L
        val java: String = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    }
}
