package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * A token bucket whose rate is given with each call, since it follows the number of instances. Not thread-safe.
 *
 * @param phase from 0 to 1, different for each instance; it keeps many slow buckets from allowing their first requests
 *   at the same moment
 */
class TokenBucket(
    private val clock: Clock,
    private val phase: Double = 0.0,
) {
    private var tokens: Double? = null
    private var refilledMillis = clock.nowMillis()

    /**
     * Takes a token from a bucket that refills with [perSecond], or returns false. The bucket holds [burst] tokens, but
     * at least one, so that a slow rate is not lost. It starts with [burst] tokens, less its phase if that is below
     * one.
     */
    fun tryTake(
        perSecond: Double,
        burst: Double,
    ): Boolean {
        val now = clock.nowMillis()
        val before = tokens ?: if (burst < 1) burst - phase else burst
        val refill = (now - refilledMillis) * perSecond / MILLIS_PER_SECOND
        val refilled = (before + refill).coerceAtMost(maxOf(1.0, burst))
        refilledMillis = now
        val allowed = refilled >= 1
        tokens = if (allowed) refilled - 1 else refilled
        return allowed
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
