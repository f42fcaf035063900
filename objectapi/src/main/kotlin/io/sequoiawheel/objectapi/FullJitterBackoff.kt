package io.sequoiawheel.objectapi

import org.apache.commons.rng.UniformRandomProvider

/**
 * Exponential backoff with full jitter: each delay is uniform between 0 and a ceiling that doubles with each failure.
 * Drawing from the full range keeps daemons from retrying in step after an outage. Not thread-safe; each coroutine uses
 * its own object.
 *
 * @param initialCeilingMillis ceiling after the first failure
 * @param maximumCeilingMillis upper bound of the ceiling
 */
class FullJitterBackoff(
    private val random: UniformRandomProvider,
    private val initialCeilingMillis: Long = INITIAL_CEILING_MILLIS,
    private val maximumCeilingMillis: Long = MAXIMUM_CEILING_MILLIS,
) {
    private var ceilingMillis = initialCeilingMillis

    init {
        require(initialCeilingMillis in 1..maximumCeilingMillis) {
            "initialCeilingMillis must be between 1 and maximumCeilingMillis"
        }
    }

    /** Records a failure and returns the delay before the next attempt. */
    fun nextDelayMillis(): Long {
        val delay = random.nextLong(ceilingMillis + 1)
        ceilingMillis = if (ceilingMillis > maximumCeilingMillis / 2) maximumCeilingMillis else ceilingMillis * 2
        return delay
    }

    /** Returns a random delay that spreads the first calls of many daemons over [spreadMillis]. */
    fun spreadDelayMillis(spreadMillis: Long = OUTAGE_SPREAD_MILLIS): Long = random.nextLong(spreadMillis + 1)

    /** Resets the ceiling after a success. */
    fun reset() {
        ceilingMillis = initialCeilingMillis
    }

    companion object {
        /** Default ceiling after the first failure. */
        const val INITIAL_CEILING_MILLIS = 100L

        /** Default upper bound of the ceiling. */
        const val MAXIMUM_CEILING_MILLIS = 20_000L

        /** Default period over which the first calls after an outage are spread. */
        const val OUTAGE_SPREAD_MILLIS = 10_000L
    }
}
