package io.sequoiawheel.core.stream

import kotlin.math.abs

/**
 * Learns the gap between the tokens of one stream and says how long a silence is a stall. The estimate is the smoothed
 * mean and deviation of TCP's retransmission timer, because token gaps vary in the same way: slowly with load, and
 * with isolated outliers. Not thread-safe for writers; [timeoutMillis] may be read from another thread.
 *
 * @param floorMillis a shorter silence is never a stall; covers one preemption of a short batch
 * @param ceilingMillis a longer silence always is; also the timeout before two tokens have been seen
 */
class StallDetector(
    private val floorMillis: Long = FLOOR_MILLIS,
    private val ceilingMillis: Long = CEILING_MILLIS,
) {
    private var lastMillis = UNSEEN
    private var meanMillis = 0.0
    private var deviationMillis = 0.0
    private var gaps = 0L

    /** How long a silence may last before it counts as a stall. */
    @Volatile
    var timeoutMillis: Long = ceilingMillis
        private set

    /** Time beyond the expected gap between two tokens after the first, summed over the stream. */
    var stalledMillis: Long = 0
        private set

    /** Records a token that arrived at [nowMillis]. */
    fun onToken(nowMillis: Long) {
        val previous = lastMillis
        lastMillis = nowMillis
        if (previous == UNSEEN) return
        val gap = (nowMillis - previous).toDouble()
        countStall(gap)
        learn(gap)
    }

    /** Forgets the time of the last token, so that a wait for the caller does not count as a gap of the engine. */
    fun skipGap() {
        lastMillis = UNSEEN
    }

    private fun countStall(gap: Double) {
        if (gaps < LEARNED_GAPS) return
        val excess = gap - (meanMillis + STALL_DEVIATIONS * deviationMillis + CLOCK_STEP_MILLIS)
        if (excess > 0) stalledMillis += excess.toLong()
    }

    private fun learn(gap: Double) {
        if (gaps++ == 0L) {
            meanMillis = gap
            deviationMillis = gap / 2
        } else {
            val error = gap - meanMillis
            meanMillis += error * MEAN_GAIN
            deviationMillis += (abs(error) - deviationMillis) * DEVIATION_GAIN
        }
        val expected = meanMillis + TIMEOUT_DEVIATIONS * deviationMillis
        timeoutMillis = (expected * TIMEOUT_FACTOR).toLong().coerceIn(floorMillis, ceilingMillis)
    }

    private companion object {
        const val UNSEEN = Long.MIN_VALUE
        const val FLOOR_MILLIS = 400L
        const val CEILING_MILLIS = 5_000L
        const val LEARNED_GAPS = 8L
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
        const val STALL_DEVIATIONS = 2.0
        const val TIMEOUT_DEVIATIONS = 4.0

        // A resume costs a connection, so the silence must be well outside the learned range.
        const val TIMEOUT_FACTOR = 2.0

        // The clock has a resolution of one millisecond.
        const val CLOCK_STEP_MILLIS = 1.0
    }
}
