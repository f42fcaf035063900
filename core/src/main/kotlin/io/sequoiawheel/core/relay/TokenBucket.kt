package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * A token bucket whose rate is passed with each call, since it depends on the number of instances. Not thread-safe.
 *
 * @param phase from 0 to 1, different for each instance, so that many slow buckets do not allow their first requests at
 *   the same time
 */
class TokenBucket(
    private val clock: Clock,
    private val phase: Double = 0.0,
) {
    private var tokens: Double? = null
    private var refilledMillis = clock.nowMillis()

    /**
     * Takes a token from the bucket, which refills at [perSecond], or returns false if it is empty. The capacity is
     * [burst] tokens but at least one, so that slow rates still produce tokens. The bucket starts with [burst] tokens,
     * minus its phase if [burst] is less than one.
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
