package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.history.Violation
import java.util.concurrent.CopyOnWriteArrayList

/** What one deployment's run observes, and its progress lines. It is thread-safe. */
internal class DemoNotes(
    private val name: String,
    private val print: (String) -> Unit,
) {
    private val startedMillis = now()
    private val found = CopyOnWriteArrayList<Violation>()

    /** The history that callers and backend servers write. */
    val history = HistoryRecorder()

    /** Violations that were seen directly, apart from those that the history shows. */
    val violations: List<Violation> get() = found

    /** Returns the time of the history in milliseconds. */
    fun now(): Long = System.nanoTime() / NANOS_PER_MILLI

    /** Appends [event] to the history. */
    fun record(event: HistoryEvent) = history.record(event)

    /** Prints a line with the deployment and the elapsed time. */
    fun progress(text: String) = print("%-8s %5.1f s  %s".format(name, (now() - startedMillis) / 1000.0, text))

    /** Notes a violation that was seen directly. */
    fun violate(
        promise: Promise,
        detail: String,
    ) {
        found += Violation(promise, detail)
        progress("BROKEN $promise: $detail")
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
