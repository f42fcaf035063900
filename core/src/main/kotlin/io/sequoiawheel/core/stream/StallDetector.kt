package io.sequoiawheel.core.stream

import kotlin.math.abs

/**
 * Estimates the gap between the tokens of one stream and derives the timeout after which the stream counts as stalled.
 * The estimate uses the smoothed mean and deviation of TCP's retransmission timer, because token gaps vary in the same
 * way: slowly with load, and with isolated outliers. Updates need a single thread; [timeoutMillis] may be read from any
 * thread.
 *
 * @param minimumTimeoutMillis lower bound of the timeout; covers one preemption of a short batch
 * @param maximumTimeoutMillis upper bound of the timeout, and its value until two tokens have arrived
 */
class StallDetector(
    private val minimumTimeoutMillis: Long = MINIMUM_TIMEOUT_MILLIS,
    private val maximumTimeoutMillis: Long = MAXIMUM_TIMEOUT_MILLIS,
) {
    private var lastMillis = NO_TOKEN
    private var meanMillis = 0.0
    private var deviationMillis = 0.0
    private var gapCount = 0L

    /** Time without a token after which the stream counts as stalled. */
    @Volatile
    var timeoutMillis: Long = maximumTimeoutMillis
        private set

    /** Total time by which the gaps between tokens exceeded the expected gap. */
    var stalledMillis: Long = 0
        private set

    /** Records a token that arrived at [nowMillis]. */
    fun onToken(nowMillis: Long) {
        val previous = lastMillis
        lastMillis = nowMillis
        if (previous == NO_TOKEN) return
        val gap = (nowMillis - previous).toDouble()
        addStall(gap)
        updateEstimate(gap)
    }

    /** Discards the time of the last token, so that waiting for a slow caller does not count as a gap of the engine. */
    fun ignoreNextGap() {
        lastMillis = NO_TOKEN
    }

    private fun addStall(gap: Double) {
        if (gapCount < MINIMUM_GAPS) return
        val excess = gap - (meanMillis + STALL_DEVIATIONS * deviationMillis + CLOCK_RESOLUTION_MILLIS)
        if (excess > 0) stalledMillis += excess.toLong()
    }

    private fun updateEstimate(gap: Double) {
        if (gapCount++ == 0L) {
            meanMillis = gap
            deviationMillis = gap / 2
        } else {
            val error = gap - meanMillis
            meanMillis += error * MEAN_GAIN
            deviationMillis += (abs(error) - deviationMillis) * DEVIATION_GAIN
        }
        val expected = meanMillis + TIMEOUT_DEVIATIONS * deviationMillis
        timeoutMillis = (expected * TIMEOUT_FACTOR).toLong().coerceIn(minimumTimeoutMillis, maximumTimeoutMillis)
    }

    private companion object {
        const val NO_TOKEN = Long.MIN_VALUE
        const val MINIMUM_TIMEOUT_MILLIS = 400L
        const val MAXIMUM_TIMEOUT_MILLIS = 5_000L
        const val MINIMUM_GAPS = 8L
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
        const val STALL_DEVIATIONS = 2.0
        const val TIMEOUT_DEVIATIONS = 4.0

        // A resume costs a new connection, so the timeout must be well outside the expected range of gaps.
        const val TIMEOUT_FACTOR = 2.0

        // The clock has a resolution of one millisecond.
        const val CLOCK_RESOLUTION_MILLIS = 1.0
    }
}
