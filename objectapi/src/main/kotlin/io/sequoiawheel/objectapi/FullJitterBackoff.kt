package io.sequoiawheel.objectapi

import org.apache.commons.rng.UniformRandomProvider

/**
 * Delays between the attempts of one duty: uniform between 0 and a ceiling that doubles with each failure. The full
 * range spreads the daemons after an outage. An object belongs to one coroutine and is not thread-safe.
 *
 * @param firstCeilingMillis ceiling after the first failure
 * @param lastCeilingMillis ceiling that no delay exceeds
 */
class FullJitterBackoff(
    private val random: UniformRandomProvider,
    private val firstCeilingMillis: Long = FIRST_CEILING_MILLIS,
    private val lastCeilingMillis: Long = LAST_CEILING_MILLIS,
) {
    private var ceilingMillis = firstCeilingMillis

    init {
        require(firstCeilingMillis in 1..lastCeilingMillis) { "firstCeilingMillis must be 1 to lastCeilingMillis" }
    }

    /** Counts a failure and returns the milliseconds to wait before the next attempt. */
    fun nextDelayMillis(): Long {
        val delay = random.nextLong(ceilingMillis + 1)
        ceilingMillis = if (ceilingMillis > lastCeilingMillis / 2) lastCeilingMillis else ceilingMillis * 2
        return delay
    }

    /** Returns a delay that spreads the first calls of many daemons over [spreadMillis]. */
    fun spreadDelayMillis(spreadMillis: Long = OUTAGE_SPREAD_MILLIS): Long = random.nextLong(spreadMillis + 1)

    /** Forgets the failures after a success. */
    fun reset() {
        ceilingMillis = firstCeilingMillis
    }

    companion object {
        /** The default ceiling after the first failure. */
        const val FIRST_CEILING_MILLIS = 100L

        /** The default ceiling after many failures. */
        const val LAST_CEILING_MILLIS = 20_000L

        /** The period over which the first calls after an outage are spread. */
        const val OUTAGE_SPREAD_MILLIS = 10_000L
    }
}
