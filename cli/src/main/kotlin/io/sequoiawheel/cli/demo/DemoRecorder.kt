package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation
import java.util.concurrent.CopyOnWriteArrayList

/** Records the history and the violations of one deployment and prints its progress. Thread-safe. */
internal class DemoRecorder(
    private val name: String,
    private val printLine: (String) -> Unit,
) {
    private val startedMillis = now()
    private val observedViolations = CopyOnWriteArrayList<Violation>()

    /** Events recorded by callers and backend servers. */
    val history = HistoryRecorder()

    /** Violations observed during the run, as opposed to those found by checking the history. */
    val violations: List<Violation> get() = observedViolations

    /** Returns the current time on the clock of the history, in milliseconds. */
    fun now(): Long = System.nanoTime() / NANOS_PER_MILLI

    /** Appends [event] to the history. */
    fun record(event: HistoryEvent) = history.record(event)

    /** Prints [text] after the name of the deployment and the elapsed time. */
    fun progress(text: String) = printLine("%-8s %5.1f s  %s".format(name, (now() - startedMillis) / 1000.0, text))

    /** Records and prints a violation observed during the run. */
    fun recordViolation(
        promise: Promise,
        detail: String,
    ) {
        observedViolations += Violation(promise, detail)
        progress("BROKEN $promise: $detail")
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
