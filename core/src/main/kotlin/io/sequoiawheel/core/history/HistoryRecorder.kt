package io.sequoiawheel.core.history

/** Collects events from concurrent coroutines, in the order of the calls to [record]. Thread-safe. */
class HistoryRecorder {
    private val events = ArrayList<HistoryEvent>()

    /** Appends [event]. */
    @Synchronized
    fun record(event: HistoryEvent) {
        events += event
    }

    /** Returns a copy of the events recorded so far. */
    @Synchronized
    fun snapshot(): List<HistoryEvent> = ArrayList(events)
}
