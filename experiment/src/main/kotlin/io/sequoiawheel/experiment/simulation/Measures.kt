package io.sequoiawheel.experiment.simulation

import org.HdrHistogram.Histogram
import java.util.IdentityHashMap

/** The figures of one run. Durations are recorded in microseconds and reported in milliseconds. */
class Measures {
    private val gaps = Histogram(HIGHEST_MICROS, DIGITS)
    private val firstTokens = Histogram(HIGHEST_MICROS, DIGITS)
    private val stalls = Histogram(HIGHEST_MICROS, DIGITS)
    private val waits = HashMap<String, Histogram>()
    private val windowTokens = IdentityHashMap<SimulatedRequest, IntArray>()
    private val goodTokensByWorkspace = HashMap<String, Long>()
    private val endsByState = HashMap<SimulatedRequest.State, Int>()
    private var totalStallMillis = 0.0
    private var goodTokens = 0L

    /** Preemptions of all replicas over the whole run. */
    var preemptions = 0L
        internal set

    /** Requests without an end at the end of the run. */
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
            goodTokensByWorkspace.merge(request.arrival.workspace.value, tokens.toLong(), Long::plus)
        }
        if (!isMeasured) return
        endsByState.merge(request.state, 1, Int::plus)
        if (request.produced == 0) return
        val wait = micros(request.firstTokenAt - request.arrival.atMillis)
        firstTokens.recordValue(wait)
        waits.getOrPut(request.arrival.workspace.value) { Histogram(HIGHEST_MICROS, DIGITS) }.recordValue(wait)
        stalls.recordValue(micros(request.stallMillis))
        totalStallMillis += request.stallMillis
    }

    /** Requests that ended in [state]. */
    fun count(state: SimulatedRequest.State): Int = endsByState[state] ?: 0

    /** Tokens of complete answers per second, by workspace. */
    fun goodputOf(workspace: String): Double =
        (goodTokensByWorkspace[workspace] ?: 0) / windowMillis * MILLIS_PER_SECOND

    /** Time to the first token at [percentile] of the requests of [workspace]. */
    fun firstTokenMillisOf(
        workspace: String,
        percentile: Double,
    ): Double = waits[workspace]?.getValueAtPercentile(percentile)?.div(MICROS_PER_MILLI) ?: 0.0

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

    private fun micros(millis: Double): Long = (millis * MICROS_PER_MILLI).toLong().coerceIn(0, HIGHEST_MICROS)

    private fun millis(
        histogram: Histogram,
        percentile: Double,
    ): Double = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI

    companion object {
        /** The gap between tokens that the design size promises to 95 in 100; what is beyond it is stall time. */
        const val EXPECTED_GAP_MILLIS = 61.0

        private const val HIGHEST_MICROS = 3_600_000_000L
        private const val DIGITS = 3
        private const val MICROS_PER_MILLI = 1000.0
        private const val MILLIS_PER_SECOND = 1000.0
    }
}
