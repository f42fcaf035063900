package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.ServiceDocument.RetryPolicy

/**
 * A token bucket that bounds retries and hedged attempts of one service to a share of its first attempts, with a floor
 * per second. Thread-safe.
 *
 * @param policy share, floor and the largest number of attempts of one request
 */
class RetryBudget(
    private val policy: RetryPolicy,
) {
    private var tokens = BURST_SECONDS * policy.minimumPerSecond
    private var earned = 0.0
    private var refilledMillis: Long? = null

    /** Records the first attempt of a request. */
    @Synchronized
    fun firstAttempt() {
        earned = (earned + policy.ratio).coerceAtMost(MAXIMUM_EARNED)
    }

    /** Takes one token and returns true if attempt number [attempt] (the first is 1) may start. */
    @Synchronized
    fun tryAttempt(
        attempt: Int,
        nowMillis: Long,
    ): Boolean {
        refill(nowMillis)
        if (attempt > policy.maximumAttempts) return false
        return when {
            earned >= 1 -> true.also { earned -= 1 }
            tokens >= 1 -> true.also { tokens -= 1 }
            else -> false
        }
    }

    private fun refill(nowMillis: Long) {
        val elapsed = nowMillis - (refilledMillis ?: nowMillis)
        refilledMillis = nowMillis
        val added = policy.minimumPerSecond * elapsed.coerceAtLeast(0) / MILLIS_PER_SECOND
        tokens = (tokens + added).coerceAtMost((BURST_SECONDS * policy.minimumPerSecond).coerceAtLeast(1.0))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** The floor can be saved up for this long. */
        const val BURST_SECONDS = 10.0

        /** Bounds the retries that a long healthy period can save up for one bad moment. */
        const val MAXIMUM_EARNED = 100.0
    }
}
