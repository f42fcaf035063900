package io.sequoiawheel.relay

import java.util.PriorityQueue

/** Events in virtual time. Those of one millisecond run in the order in which they were scheduled. */
internal class EventQueue {
    private class Event(
        val atMillis: Long,
        val number: Long,
        val run: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventNumber = 0L

    var nowMillis = 0L
        private set

    /** Schedules [run] for [afterMillis] from now. */
    fun schedule(
        afterMillis: Long,
        run: () -> Unit,
    ) {
        events += Event(nowMillis + afterMillis, eventNumber++, run)
    }

    /** Advances the time by one millisecond; the events that are due then run by [runDue]. */
    fun advance() {
        nowMillis++
    }

    fun runDue() {
        while (events.isNotEmpty() && events.peek().atMillis <= nowMillis) events.poll().run()
    }
}
