package io.sequoiawheel.core.admission

/**
 * Predicts the key-value memory that generations will need. All of them grow by a token per step and free their memory
 * at their end, so the memory peaks right before one of the predicted ends.
 */
object MemoryPredictor {
    private const val REMAINING_SHIFT = 32

    /** Returns the largest sum of prompt and produced tokens over all future ends of [running]. */
    fun peakTokens(running: Collection<RunningEstimate>): Long {
        val packed = LongArray(running.size)
        running.forEachIndexed { index, estimate ->
            packed[index] = (estimate.remainingTokens.toLong() shl REMAINING_SHIFT) or estimate.heldTokens.toLong()
        }
        packed.sort()
        return peakOfSorted(packed)
    }

    /**
     * Returns the largest expected sum over all future times. Each generation counts at each of its quantiles with an
     * equal part, so the sum at a time is the mean over the uncertain ends. One quantile per generation either wastes
     * memory or preempts: docs/decisions/memory-pressure.md has the figures.
     */
    fun expectedPeakTokens(forecasts: Collection<GenerationForecast>): Long {
        val parts = forecasts.firstOrNull()?.remainingTokens?.size ?: return 0
        val estimates =
            forecasts.flatMap { forecast -> forecast.remainingTokens.map { RunningEstimate(forecast.heldTokens, it) } }
        return peakTokens(estimates) / parts
    }

    /** Walks the ends from the last to the first; what ends later is still held at an earlier end. */
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
