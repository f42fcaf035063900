package io.sequoiawheel.core.routing

import org.apache.commons.rng.UniformRandomProvider

/**
 * Exponential back-off with full jitter.
 *
 * @property baseMillis upper bound of the first delay
 * @property maximumMillis upper bound of every delay
 */
data class Backoff(
    val baseMillis: Long = 50,
    val maximumMillis: Long = 5_000,
) {
    /** Returns the delay before retry number [retry], counted from 1, in milliseconds from 1 to the bound. */
    fun delayMillis(
        retry: Int,
        random: UniformRandomProvider,
    ): Long {
        val doublings = (retry - 1).coerceIn(0, MAXIMUM_DOUBLINGS)
        val bound = (baseMillis shl doublings).coerceIn(1, maximumMillis)
        return 1 + random.nextLong(bound)
    }

    private companion object {
        /** Prevents the shift from overflowing. */
        const val MAXIMUM_DOUBLINGS = 20
    }
}
