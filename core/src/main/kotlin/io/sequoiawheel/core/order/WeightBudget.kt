package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Clock

/**
 * The shared rate at which replicas may load from the weight store, kept by the lease holder. A new holder starts with
 * an empty bucket, so that a change of holder does not double the rate. Thread-safe.
 *
 * @param loadsPerMinute loads that the weight store sustains
 * @param burst loads that may start at once after a quiet time
 */
class WeightBudget(
    private val clock: Clock,
    private val loadsPerMinute: Double,
    private val burst: Int = 1,
) {
    private var permits = 0.0
    private var filledAt = clock.nowMillis()

    /** Takes one load; returns 0 if it may start now, else after how many milliseconds to ask again. */
    @Synchronized
    fun take(): Long {
        val now = clock.nowMillis()
        permits = (permits + (now - filledAt) * loadsPerMinute / MILLIS_PER_MINUTE).coerceAtMost(burst.toDouble())
        filledAt = now
        if (permits >= 1.0) {
            permits -= 1.0
            return 0
        }
        return Math.ceil((1.0 - permits) * MILLIS_PER_MINUTE / loadsPerMinute).toLong()
    }

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000.0
    }
}
