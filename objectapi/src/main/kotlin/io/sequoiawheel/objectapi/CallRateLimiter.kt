package io.sequoiawheel.objectapi

import io.sequoiawheel.core.model.Clock
import java.util.concurrent.atomic.AtomicReference

/**
 * Limits the rate of calls from one daemon to the platform with a token bucket. Thread-safe.
 *
 * @param callsPerSecond sustained rate
 * @param burst capacity of the bucket: the number of calls that can be made at once when it is full
 */
class CallRateLimiter(
    private val callsPerSecond: Double,
    private val burst: Int,
    private val clock: Clock,
) {
    private val state = AtomicReference(State(burst.toDouble(), clock.nowMillis()))

    init {
        require(callsPerSecond > 0) { "callsPerSecond must be positive" }
        require(burst > 0) { "burst must be positive" }
    }

    /** Takes one token and returns 0, or takes none and returns the milliseconds until one is available. */
    fun tryAcquire(): Long {
        while (true) {
            val before = state.get()
            val now = clock.nowMillis()
            val available = before.refilledAt(now)
            if (available < 1.0) return millisUntilNextToken(available)
            if (state.compareAndSet(before, State(available - 1.0, now))) return 0
        }
    }

    private fun State.refilledAt(now: Long): Double {
        val elapsedMillis = (now - updatedAtMillis).coerceAtLeast(0)
        return (tokens + elapsedMillis * callsPerSecond / MILLIS_PER_SECOND).coerceAtMost(burst.toDouble())
    }

    private fun millisUntilNextToken(available: Double): Long =
        ((1.0 - available) * MILLIS_PER_SECOND / callsPerSecond).toLong() + 1

    private data class State(
        val tokens: Double,
        val updatedAtMillis: Long,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
