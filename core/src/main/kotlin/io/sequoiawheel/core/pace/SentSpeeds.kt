package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.Clock
import kotlin.math.abs
import kotlin.math.ln

/**
 * What one kind of message last said of each replica, so that the next one says only what changed notably. All is
 * repeated at long intervals, since datagrams are lost and instances start. Confined to one thread.
 */
internal class SentSpeeds(
    private val clock: Clock,
) {
    private class Sent(
        val speed: KnownSpeed,
        val atMillis: Long,
    )

    private val sent = HashMap<String, Sent>()

    /** Returns the entries for [speeds], given the [typicalFigures] of the replicas, and marks them as sent. */
    fun take(
        speeds: Map<String, KnownSpeed>,
        typicalFigures: Map<String, Double>,
    ): Map<String, ReportedSpeed> {
        val now = clock.nowMillis()
        sent.keys.retainAll(speeds.keys)
        val due =
            speeds.filter { (id, speed) ->
                val isKnown = speed.observed != null || speed.figure != null
                isKnown && (isDue(sent[id], speed) || isNewFigure(sent[id], speed, typicalFigures[id]))
            }
        due.forEach { (id, speed) -> sent[id] = Sent(speed, now) }
        return due.mapValues { ReportedSpeed.of(it.value, now) }
    }

    /** Whether [speeds] contain a figure that the other instances should know soon. */
    fun hasNews(
        speeds: Map<String, KnownSpeed>,
        typicalFigures: Map<String, Double>,
    ): Boolean = speeds.any { (id, speed) -> isNewFigure(sent[id], speed, typicalFigures[id]) }

    private fun isDue(
        last: Sent?,
        speed: KnownSpeed,
    ): Boolean {
        if (last == null || last.speed.incarnation != speed.incarnation) return true
        if (clock.nowMillis() - last.atMillis >= REPEAT_MILLIS) return true
        val before = last.speed.observed?.factor
        val after = speed.observed?.factor ?: return false
        return before == null || isNotable(after / before, NOTABLE_FACTOR)
    }

    /** Whether the figure differs from what the others assume: the last one sent, or later the typical one. */
    private fun isNewFigure(
        last: Sent?,
        speed: KnownSpeed,
        typicalFigure: Double?,
    ): Boolean {
        val figure = speed.figure ?: return false
        val before = last?.speed?.takeIf { it.incarnation == speed.incarnation }?.figure ?: return true
        val now = clock.nowMillis()
        val isNewer = figure.observedAtMillis > before.observedAtMillis
        if (!isNewer || now - figure.observedAtMillis > NEWS_MILLIS) return false
        val isCurrent = now - before.observedAtMillis <= NEWS_MILLIS
        val assumed = if (isCurrent || typicalFigure == null) before.hundredths.toDouble() else typicalFigure
        return isNotable(figure.hundredths / assumed, NOTABLE_FIGURE)
    }

    private fun isNotable(
        ratio: Double,
        logBound: Double,
    ) = abs(ln(ratio)) > logBound

    private companion object {
        /** A third of a minute repeats 35 replicas with less than 2 entries per second. */
        const val REPEAT_MILLIS = 20_000L

        /** A spell of slowness lasts about this long, so older figures are no news. */
        const val NEWS_MILLIS = 600L

        /** Changes of a tenth do not change a placement. */
        const val NOTABLE_FACTOR = 0.1

        /** Spells multiply the time by more than 2; smaller changes are not worth a message. */
        const val NOTABLE_FIGURE = 0.3
    }
}
