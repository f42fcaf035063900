package io.sequoiawheel.core.admission.internal

import org.HdrHistogram.IntCountsHistogram

/** Histograms of the most recent output lengths of one key, covering one to two windows. */
internal class LengthHistory(
    private val windowSamples: Int,
) {
    private var current = emptyHistogram()
    private var previous = emptyHistogram()

    @Synchronized
    fun record(tokens: Int) {
        if (current.totalCount >= windowSamples) {
            val recycled = previous
            previous = current
            current = recycled.apply { reset() }
        }
        current.recordValue(tokens.toLong().coerceIn(1, MAXIMUM_TOKENS))
    }

    /**
     * Returns the length at [quantile] among the recorded lengths above [produced], or null if there are fewer than
     * [minimumSamples].
     */
    @Synchronized
    fun quantile(
        produced: Int,
        quantile: Double,
        minimumSamples: Int,
    ): Int? {
        val floor = current.highestEquivalentValue(produced.toLong().coerceIn(0, MAXIMUM_TOKENS))
        val above = countAbove(current, floor) + countAbove(previous, floor)
        if (above < minimumSamples) return null
        var left = (quantile * above).toLong().coerceIn(0, above - 1)
        var value = floor + 1
        while (value <= MAXIMUM_TOKENS) {
            left -= current.getCountAtValue(value) + previous.getCountAtValue(value)
            if (left < 0) return current.medianEquivalentValue(value).toInt()
            value = current.nextNonEquivalentValue(value)
        }
        return MAXIMUM_TOKENS.toInt()
    }

    private fun countAbove(
        histogram: IntCountsHistogram,
        floor: Long,
    ): Long =
        when {
            histogram.totalCount == 0L -> 0
            floor <= 0 -> histogram.totalCount
            else -> histogram.totalCount - histogram.getCountBetweenValues(0, floor)
        }

    private fun emptyHistogram() = IntCountsHistogram(1, MAXIMUM_TOKENS, SIGNIFICANT_DIGITS)

    private companion object {
        /** The longest output in tokens; longer ones are recorded as this length. */
        const val MAXIMUM_TOKENS = 131_071L

        /** One significant digit keeps a histogram near 1 KB and is precise enough for the estimate. */
        const val SIGNIFICANT_DIGITS = 1
    }
}
