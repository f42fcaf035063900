/*
 * Structured log lines: one for each decision that affects a request or changes the state of the process. The number of
 * lines a second is limited; omitted lines are counted and reported in a line of their own.
 */
package io.sequoiawheel.relay.internal

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.sequoiawheel.core.model.Clock

internal class DecisionLog(
    private val clock: Clock,
    private val linesPerSecond: Int = LINES_PER_SECOND,
) {
    private val logger = KotlinLogging.logger("sequoiawheel")
    private var secondStartMillis = clock.nowMillis()
    private var written = 0
    private var omitted = 0L

    /** Logs a decision on one request. */
    fun request(
        decision: String,
        fields: Map<String, Any?>,
    ) = write(Level.INFO, decision, fields + ("event" to "request"))

    /** Logs a change in the state that the process knows of, such as its configuration or the list of replicas. */
    fun stateChange(
        change: String,
        fields: Map<String, Any?>,
    ) = write(Level.INFO, change, fields + ("event" to "belief"))

    /** Logs that a dependency became unavailable or available again. */
    fun dependency(
        change: String,
        fields: Map<String, Any?>,
    ) = write(Level.WARN, change, fields + ("event" to "dependency"))

    /** Logs a start, stop or reload. These lines are never omitted. */
    fun lifecycle(
        change: String,
        fields: Map<String, Any?>,
    ) = emit(Level.INFO, change, fields + ("event" to "lifecycle"))

    private fun write(
        level: Level,
        text: String,
        fields: Map<String, Any?>,
    ) {
        val now = clock.nowMillis()
        if (now - secondStartMillis >= MILLIS_PER_SECOND) {
            if (omitted > 0) emit(Level.WARN, "log lines omitted", mapOf("event" to "log", "omitted" to omitted))
            secondStartMillis = now
            written = 0
            omitted = 0
        }
        if (written >= linesPerSecond) {
            omitted++
            return
        }
        written++
        emit(level, text, fields)
    }

    private fun emit(
        level: Level,
        text: String,
        fields: Map<String, Any?>,
    ) = logger.at(level) {
        message = text
        payload = fields.filterValues { it != null }.mapValues { (_, value) -> shorten(value) }
    }

    /** Peers choose the length of paths, ids and error texts; lines wait in a queue with a limit on their number. */
    private fun shorten(value: Any?): Any? =
        if (value is String && value.length > MAXIMUM_TEXT) value.take(MAXIMUM_TEXT) + "..." else value

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Characters of one field of a line. */
        const val MAXIMUM_TEXT = 512

        /** About two lines for each request of an instance at twice its usual load. */
        const val LINES_PER_SECOND = 100
    }
}
