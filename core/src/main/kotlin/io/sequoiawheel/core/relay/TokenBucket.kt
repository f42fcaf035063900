package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** A token bucket whose rate is given with each call, since it follows the number of instances. Not thread-safe. */
class TokenBucket(
    private val clock: Clock,
) {
    private var tokens: Double? = null
    private var refilledMillis = clock.nowMillis()

    /** Takes a token from a bucket of [burst] tokens that refills with [perSecond], or returns false. */
    fun tryTake(
        perSecond: Double,
        burst: Double,
    ): Boolean {
        val now = clock.nowMillis()
        val before = tokens ?: burst
        val refilled = (before + (now - refilledMillis) * perSecond / MILLIS_PER_SECOND).coerceAtMost(burst)
        refilledMillis = now
        val allowed = refilled >= 1
        tokens = if (allowed) refilled - 1 else refilled
        return allowed
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
