/*
 * Structured log lines: one for each decision that affects a request or changes the state of the process. The number of
 * lines a second is limited; omitted lines are counted and reported in a line of their own. The ends of ordinary
 * requests have a limit of their own, so that load does not displace the lines that explain anything else.
 */
package io.sequoiawheel.relay.internal

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.sequoiawheel.core.model.Clock

internal class DecisionLog(
    private val clock: Clock,
    private val linesPerSecond: Int = LINES_PER_SECOND,
    private val ordinaryLinesPerSecond: Int = ORDINARY_LINES_PER_SECOND,
    private val droppedLines: () -> Long = { LogConfiguration.droppedLines },
) {
    private val logger = KotlinLogging.logger("sequoiawheel")
    private val ordinaryLogger = KotlinLogging.logger(ORDINARY_LOGGER)
    private var secondStartMillis = clock.nowMillis()
    private var written = 0
    private var omitted = 0L
    private var writtenOrdinary = 0
    private var omittedOrdinary = 0L
    private var reportedDropped = 0L

    /** Logs a decision on one request. */
    fun request(
        decision: String,
        fields: Map<String, Any?>,
    ) = write(Level.INFO, decision, fields + ("event" to "request"))

    /**
     * Logs the end of a request. Calls [fields] only if the line is written.
     *
     * @param isUnusual whether the line says more than that a single send succeeded
     */
    fun requestEnd(
        isUnusual: Boolean,
        fields: () -> Map<String, Any?>,
    ) {
        startSecond()
        if (isUnusual) {
            if (mayWrite()) emit(Level.INFO, REQUEST_ENDED, fields() + ("event" to "request"))
        } else if (writtenOrdinary >= ordinaryLinesPerSecond) {
            omittedOrdinary++
        } else {
            writtenOrdinary++
            emit(Level.INFO, REQUEST_ENDED, fields() + ("event" to "request"), ordinaryLogger)
        }
    }

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
        startSecond()
        if (mayWrite()) emit(level, text, fields)
    }

    private fun startSecond() {
        val now = clock.nowMillis()
        if (now - secondStartMillis < MILLIS_PER_SECOND) return
        reportOmitted()
        secondStartMillis = now
        written = 0
        omitted = 0
        writtenOrdinary = 0
        omittedOrdinary = 0
    }

    /** The number of dropped lines is that since the start, so that it survives if this line is dropped as well. */
    private fun reportOmitted() {
        val dropped = droppedLines()
        if (omitted + omittedOrdinary == 0L && dropped == reportedDropped) return
        reportedDropped = dropped
        val fields =
            mapOf(
                "omitted" to omitted + omittedOrdinary,
                "omittedOrdinary" to omittedOrdinary,
                "dropped" to dropped,
                "event" to "log",
            )
        emit(Level.WARN, "log lines omitted", fields)
    }

    private fun mayWrite(): Boolean {
        val isWithinLimit = written < linesPerSecond
        if (isWithinLimit) written++ else omitted++
        return isWithinLimit
    }

    private fun emit(
        level: Level,
        text: String,
        fields: Map<String, Any?>,
        target: KLogger = logger,
    ) = target.at(level) {
        message = text
        payload = fields.filterValues { it != null }.mapValues { (_, value) -> shorten(value) }
    }

    /** Peers choose the length of paths, ids and error texts; lines wait in a queue with a limit on their number. */
    private fun shorten(value: Any?): Any? =
        if (value is String && value.length > MAXIMUM_TEXT) value.take(MAXIMUM_TEXT) + "..." else value

    companion object {
        /** Name of the logger of the lines that are dropped first when the output is slow. */
        const val ORDINARY_LOGGER = "sequoiawheel.ordinary"
        private const val REQUEST_ENDED = "request ended"
        private const val MILLIS_PER_SECOND = 1_000L

        /** Characters of one field of a line. */
        private const val MAXIMUM_TEXT = 512

        /** Three for each request at 300 requests a second: for example a resend, the stop of a run and the end. */
        private const val LINES_PER_SECOND = 900

        /** One for each request at 300 requests a second, and for bursts of three times as many. */
        private const val ORDINARY_LINES_PER_SECOND = 900
    }
}
