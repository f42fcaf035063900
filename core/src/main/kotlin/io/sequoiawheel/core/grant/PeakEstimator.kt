package io.sequoiawheel.core.grant

/** Estimates the peak memory of a set of reserved requests. */
fun interface PeakEstimator {
    /** Returns the largest number of tokens that [reservations] hold at the same time, now or later. */
    fun peakTokens(reservations: Collection<Reservation>): Long

    companion object {
        /** Assumes that all requests reach their full length at the same time. */
        val SUM = PeakEstimator { reservations -> reservations.sumOf { it.capacity.tokens } }
    }
}
