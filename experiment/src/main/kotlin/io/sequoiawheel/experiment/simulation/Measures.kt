package io.sequoiawheel.experiment.simulation

import org.HdrHistogram.Histogram
import java.util.IdentityHashMap

/**
 * The figures of one run. Workspaces are grouped by the part of their name before the first hyphen. Durations are
 * recorded in microseconds and reported in milliseconds.
 */
class Measures {
    private val gaps = Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val firstTokens = Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val stalls = Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    private val groups = HashMap<String, Group>()
    private val windowTokens = IdentityHashMap<SimulatedRequest, IntArray>()
    private val endsByState = HashMap<SimulatedRequest.State, Int>()
    private var totalStallMillis = 0.0
    private var goodTokens = 0L

    /** Preemptions of all replicas over the whole run. */
    var preemptions = 0L
        internal set

    /** Requests that had not ended by the end of the run. */
    var unfinished = 0
        internal set

    internal var windowMillis = 0.0
    internal var windowEndMillis = 0.0

    internal fun recordGap(gapMillis: Double) = gaps.recordValue(micros(gapMillis))

    internal fun recordToken(request: SimulatedRequest) {
        windowTokens.getOrPut(request) { IntArray(1) }[0]++
    }

    internal fun recordEnd(
        request: SimulatedRequest,
        isMeasured: Boolean,
    ) {
        val tokens = windowTokens.remove(request)?.get(0) ?: 0
        if (request.state == SimulatedRequest.State.DONE) {
            goodTokens += tokens
            groupOf(request).goodTokens += tokens
        }
        if (!isMeasured) return
        endsByState.merge(request.state, 1, Int::plus)
        groupOf(request).endsByState.merge(request.state, 1, Int::plus)
        if (request.produced == 0) return
        val wait = micros(request.firstTokenAt - request.arrival.atMillis)
        firstTokens.recordValue(wait)
        groupOf(request).firstTokens.recordValue(wait)
        stalls.recordValue(micros(request.stallMillis))
        totalStallMillis += request.stallMillis
    }

    /** Returns the number of measured requests that ended in [state]. */
    fun count(state: SimulatedRequest.State): Int = endsByState[state] ?: 0

    /** Returns the figures of the workspaces of one [group], each name starting with the group. */
    fun groupFigures(group: String): Map<String, Double> {
        val figures = groups[group] ?: Group()
        val ended = figures.endsByState.values.sum()
        val done = figures.endsByState[SimulatedRequest.State.DONE] ?: 0
        return mapOf(
            "${group}CompletedShare" to if (ended == 0) 0.0 else done.toDouble() / ended,
            "${group}GoodputTokensPerSecond" to figures.goodTokens / windowMillis * MILLIS_PER_SECOND,
            "${group}FirstTokenP50Millis" to millis(figures.firstTokens, 50.0),
            "${group}FirstTokenP95Millis" to millis(figures.firstTokens, 95.0),
        )
    }

    /** Returns all figures under the names of the report. */
    fun figures(): Map<String, Double> =
        mapOf(
            "stallP50Millis" to millis(stalls, 50.0),
            "stallP99Millis" to millis(stalls, 99.0),
            "stallTotalMillis" to totalStallMillis,
            "preemptions" to preemptions.toDouble(),
            "gapP50Millis" to millis(gaps, 50.0),
            "gapP95Millis" to millis(gaps, 95.0),
            "gapP99Millis" to millis(gaps, 99.0),
            "gapP999Millis" to millis(gaps, 99.9),
            "firstTokenP50Millis" to millis(firstTokens, 50.0),
            "firstTokenP95Millis" to millis(firstTokens, 95.0),
            "firstTokenP99Millis" to millis(firstTokens, 99.0),
            "completed" to count(SimulatedRequest.State.DONE).toDouble(),
            "refused" to count(SimulatedRequest.State.REFUSED).toDouble(),
            "timedOut" to count(SimulatedRequest.State.TIMED_OUT).toDouble(),
            "failed" to count(SimulatedRequest.State.FAILED).toDouble(),
            "unfinished" to unfinished.toDouble(),
            "goodputTokensPerSecond" to goodTokens / windowMillis * MILLIS_PER_SECOND,
        )

    /** Returns the violations in a run without faults: every request must end, and none may be lost. */
    fun violations(): List<String> =
        buildList {
            if (unfinished > 0) add("$unfinished requests got no final answer")
            val failed = count(SimulatedRequest.State.FAILED)
            if (failed > 0) add("$failed requests failed although no replica did")
        }

    private fun groupOf(request: SimulatedRequest): Group =
        groups.getOrPut(
            request.arrival.workspace.value
                .substringBefore('-'),
        ) { Group() }

    private fun micros(millis: Double): Long = (millis * MICROS_PER_MILLI).toLong().coerceIn(0, HIGHEST_MICROS)

    private fun millis(
        histogram: Histogram,
        percentile: Double,
    ): Double = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private class Group {
        val firstTokens = Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
        val endsByState = HashMap<SimulatedRequest.State, Int>()
        var goodTokens = 0L
    }

    companion object {
        /** The 95th-percentile token gap promised at the design size; time beyond it counts as stall time. */
        const val EXPECTED_GAP_MILLIS = 61.0

        private const val HIGHEST_MICROS = 3_600_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val MICROS_PER_MILLI = 1000.0
        private const val MILLIS_PER_SECOND = 1000.0
    }
}
