package io.sequoiawheel.core.history

/** Collects events from many coroutines, in the order of the calls of [record]. Thread-safe. */
class HistoryRecorder {
    private val events = ArrayList<HistoryEvent>()

    /** Appends [event]. */
    @Synchronized
    fun record(event: HistoryEvent) {
        events += event
    }

    /** Returns the events so far. */
    @Synchronized
    fun snapshot(): List<HistoryEvent> = ArrayList(events)
}
