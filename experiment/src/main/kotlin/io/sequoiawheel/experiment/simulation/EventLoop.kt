package io.sequoiawheel.experiment.simulation

import java.util.PriorityQueue

/** An event loop in virtual time. Actions with the same time run in the order in which they were scheduled. */
class EventLoop {
    private class Event(
        val atMillis: Double,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var scheduledCount = 0L

    /** The current time in milliseconds since the start of the run. */
    var now = 0.0
        private set

    /** The current time in whole milliseconds, as used by `core`. */
    val nowMillis: Long get() = now.toLong()

    /** Runs [action] after [delayMillis]. */
    fun schedule(
        delayMillis: Double,
        action: () -> Unit,
    ) {
        require(delayMillis >= 0) { "an action cannot run $delayMillis ms in the past" }
        events += Event(now + delayMillis, scheduledCount++, action)
    }

    /** Runs [action] every [periodMillis], first after [offsetMillis], until the run ends. */
    fun repeat(
        periodMillis: Double,
        offsetMillis: Double = periodMillis,
        action: () -> Unit,
    ) {
        schedule(offsetMillis) {
            action()
            repeat(periodMillis, periodMillis, action)
        }
    }

    /** Runs all actions up to and including [untilMillis]. */
    fun run(untilMillis: Double) {
        while (true) {
            val next = events.peek() ?: break
            if (next.atMillis > untilMillis) break
            events.poll()
            now = next.atMillis
            next.action()
        }
        now = untilMillis
    }
}
