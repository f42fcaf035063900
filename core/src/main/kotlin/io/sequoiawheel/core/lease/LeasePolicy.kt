package io.sequoiawheel.core.lease

/**
 * Times of a lease, in milliseconds.
 *
 * @property termMillis how long a renewal lasts
 * @property marginMillis kept on both sides for clocks that run at different speeds and for actions under way: the
 *   holder stops this much before the end of its term, a contender waits this much longer than the term
 * @property pollMillis how often a contender reads the lease
 */
data class LeasePolicy(
    val termMillis: Long = 15_000,
    val marginMillis: Long = 2_000,
    val pollMillis: Long = 5_000,
) {
    /** How often the holder renews: two renewals may be lost before the term ends. */
    val renewMillis: Long get() = termMillis / RENEWALS_PER_TERM

    private companion object {
        const val RENEWALS_PER_TERM = 3
    }
}
