package io.sequoiawheel.core.order

import io.sequoiawheel.core.model.Clock

/**
 * A token bucket that limits how often all replicas together load from the weight store; the lease holder runs it. A
 * new holder starts with an empty bucket, so that a change of holder does not double the rate. Thread-safe.
 *
 * @param loadsPerMinute rate that the weight store sustains
 * @param burst capacity of the bucket: loads that may start at once after an idle period
 */
class WeightLoadLimiter(
    private val clock: Clock,
    private val loadsPerMinute: Double,
    private val burst: Int = 1,
) {
    private var permits = 0.0
    private var refilledAtMillis = clock.nowMillis()

    /** Acquires a permit for one load; returns 0 if it may start now, else the milliseconds until the next attempt. */
    @Synchronized
    fun tryAcquire(): Long {
        val now = clock.nowMillis()
        permits =
            (permits + (now - refilledAtMillis) * loadsPerMinute / MILLIS_PER_MINUTE).coerceAtMost(burst.toDouble())
        refilledAtMillis = now
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
