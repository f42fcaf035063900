package io.sequoiawheel.core.lease

/**
 * Timing of a lease, in milliseconds.
 *
 * @property termMillis how long the lease is valid after a renewal
 * @property marginMillis safety margin for clocks that run at different rates and for actions in progress: the holder
 *   stops acting this long before the end of its term, and a contender waits this much longer than the term
 * @property pollMillis how often a contender reads the lease
 */
data class LeasePolicy(
    val termMillis: Long = 15_000,
    val marginMillis: Long = 2_000,
    val pollMillis: Long = 5_000,
) {
    /** Interval between renewals: two renewals may be lost before the term ends. */
    val renewMillis: Long get() = termMillis / RENEWALS_PER_TERM

    private companion object {
        const val RENEWALS_PER_TERM = 3
    }
}
