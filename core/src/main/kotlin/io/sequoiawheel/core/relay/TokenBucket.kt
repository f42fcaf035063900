package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import kotlin.math.ceil

/**
 * A token bucket whose rate is passed with each call, since it depends on the number of instances. Not thread-safe.
 *
 * @param phase from 0 to 1, different for each instance, so that many slow buckets do not allow their first requests at
 *   the same time
 * @param startsEmpty whether the bucket starts without tokens
 */
class TokenBucket(
    private val clock: Clock,
    private val phase: Double = 0.0,
    private val startsEmpty: Boolean = false,
) {
    private var tokens: Double? = null
    private var refilledMillis = clock.nowMillis()

    /**
     * Takes a token from the bucket, which refills at [perSecond], or returns false if it is empty. The capacity is
     * [burst] tokens but at least one, so that slow rates still produce tokens. Unless it starts empty, the bucket
     * starts with [burst] tokens, minus its phase if [burst] is less than one.
     */
    fun tryTake(
        perSecond: Double,
        burst: Double,
    ): Boolean {
        val refilled = refill(perSecond, burst)
        val allowed = refilled >= 1
        tokens = if (allowed) refilled - 1 else refilled
        return allowed
    }

    /** Returns the time until the bucket contains a token, in milliseconds; 0 if it contains one now. */
    fun millisUntilToken(
        perSecond: Double,
        burst: Double,
    ): Long {
        val missing = 1 - refill(perSecond, burst)
        return if (missing <= 0) 0 else ceil(missing * MILLIS_PER_SECOND / perSecond).toLong()
    }

    /** Returns the bucket to its initial state. */
    fun reset() {
        tokens = null
        refilledMillis = clock.nowMillis()
    }

    private fun refill(
        perSecond: Double,
        burst: Double,
    ): Double {
        val now = clock.nowMillis()
        val before = tokens ?: initialTokens(burst)
        val added = (now - refilledMillis) * perSecond / MILLIS_PER_SECOND
        val refilled = (before + added).coerceAtMost(maxOf(1.0, burst))
        refilledMillis = now
        tokens = refilled
        return refilled
    }

    private fun initialTokens(burst: Double) =
        when {
            startsEmpty -> 0.0
            burst < 1 -> burst - phase
            else -> burst
        }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
