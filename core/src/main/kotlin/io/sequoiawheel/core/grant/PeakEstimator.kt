package io.sequoiawheel.core.grant

/** Estimates the memory that reserved requests will need together. */
fun interface PeakEstimator {
    /** Returns the largest number of tokens that [reservations] hold at once, now or later. */
    fun peakTokens(reservations: Collection<Reservation>): Long

    companion object {
        /** Assumes that all requests reach their full length at the same time. */
        val SUM = PeakEstimator { reservations -> reservations.sumOf { it.room.tokens } }
    }
}
