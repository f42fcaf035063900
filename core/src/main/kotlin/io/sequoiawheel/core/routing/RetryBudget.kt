package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.ServiceDocument.RetryPolicy

/**
 * A token bucket that limits retries and hedged attempts of one service to a share of its first attempts, with a
 * minimum per second. Thread-safe.
 *
 * @param policy the share, the minimum per second and the maximum number of attempts per request
 */
class RetryBudget(
    private val policy: RetryPolicy,
) {
    private var floorTokens = BURST_SECONDS * policy.minimumPerSecond
    private var earnedTokens = 0.0
    private var refilledMillis: Long? = null

    /** Records the first attempt of a request. */
    @Synchronized
    fun recordFirstAttempt() {
        earnedTokens = (earnedTokens + policy.ratio).coerceAtMost(MAXIMUM_EARNED_TOKENS)
    }

    /** Takes one token and returns true if attempt number [attempt], counted from 1, may start. */
    @Synchronized
    fun tryAttempt(
        attempt: Int,
        nowMillis: Long,
    ): Boolean {
        refill(nowMillis)
        if (attempt > policy.maximumAttempts) return false
        return when {
            earnedTokens >= 1 -> true.also { earnedTokens -= 1 }
            floorTokens >= 1 -> true.also { floorTokens -= 1 }
            else -> false
        }
    }

    private fun refill(nowMillis: Long) {
        val elapsed = nowMillis - (refilledMillis ?: nowMillis)
        refilledMillis = nowMillis
        val added = policy.minimumPerSecond * elapsed.coerceAtLeast(0) / MILLIS_PER_SECOND
        floorTokens = (floorTokens + added).coerceAtMost((BURST_SECONDS * policy.minimumPerSecond).coerceAtLeast(1.0))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** The unused minimum accumulates for at most this long. */
        const val BURST_SECONDS = 10.0

        /** Limits the retries that accumulate during a long healthy period and could then be used in one burst. */
        const val MAXIMUM_EARNED_TOKENS = 100.0
    }
}
