package io.sequoiawheel.core.admission

/**
 * Predicts the key-value cache memory of running generations. Each grows by one token per step and frees its memory
 * when it ends, so total memory peaks right before one of the predicted ends.
 */
object MemoryPredictor {
    private const val REMAINING_SHIFT = 32

    /** Returns the largest sum of prompt and produced tokens at the predicted ends of [running]. */
    fun peakTokens(running: Collection<RunningEstimate>): Long {
        val packed = LongArray(running.size)
        running.forEachIndexed { index, estimate ->
            packed[index] = (estimate.remainingTokens.toLong() shl REMAINING_SHIFT) or estimate.heldTokens.toLong()
        }
        packed.sort()
        return peakOfSorted(packed)
    }

    /**
     * Returns the largest expected sum over all future times. Each quantile of a generation has the same weight, so the
     * sum at a given time is the mean over the uncertain ends. A single quantile per generation either wastes memory or
     * causes preemptions; docs/decisions/memory-pressure.md has the measurements.
     */
    fun expectedPeakTokens(forecasts: Collection<GenerationForecast>): Long {
        val quantileCount = forecasts.firstOrNull()?.remainingTokens?.size ?: return 0
        val estimates =
            forecasts.flatMap { forecast -> forecast.remainingTokens.map { RunningEstimate(forecast.heldTokens, it) } }
        return peakTokens(estimates) / quantileCount
    }

    /**
     * Iterates over the ends from the last to the first; generations that end later still hold memory at an earlier
     * end.
     */
    private fun peakOfSorted(packed: LongArray): Long {
        var peak = 0L
        var held = 0L
        for (index in packed.indices.reversed()) {
            held += packed[index].toInt()
            val remaining = packed[index] shr REMAINING_SHIFT
            val stillHeld = packed.size - index
            peak = maxOf(peak, held + remaining * stillHeld)
        }
        return peak
    }
}
