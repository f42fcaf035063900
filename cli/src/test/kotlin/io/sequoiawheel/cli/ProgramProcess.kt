package io.sequoiawheel.cli

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs the command line in a separate process and captures its output in files. */
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

    /** Waits until standard output contains a match of [pattern] and returns it. */
    fun awaitLine(pattern: Regex): MatchResult {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
        while (System.nanoTime() < deadline) {
            pattern.find(output.readText())?.let { return it }
            check(process.isAlive) { "the process exited with ${process.exitValue()}: ${errors.readText()}" }
            Thread.sleep(POLL_MILLIS)
        }
        error("no match of $pattern in ${output.readText()} ${errors.readText()}")
    }

    /** Sends SIGTERM. */
    fun terminate() = process.destroy()

    /** Waits for the process to exit and returns its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "the process did not exit" }
        return process.exitValue()
    }

    /** Returns the standard error of the process. */
    fun errorText(): String = Files.readString(errors.toPath())

    override fun close() {
        process.destroyForcibly()
    }

    private companion object {
        const val TIMEOUT_SECONDS = 60L
        const val POLL_MILLIS = 100L
        val java: String = Path.of(System.getProperty("java.home"), "bin", "java").toString()
    }
}
