package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.Clock

/**
 * Circuit breaker for the object API. After [FAILURES_TO_OPEN] consecutive calls without an answer it permits a single
 * probe at intervals that double from [INITIAL_PROBE_INTERVAL_MILLIS] to [MAXIMUM_PROBE_INTERVAL_MILLIS]. Other callers
 * fail immediately and know that their call did not run, and few claims of unknown state remain to be released when the
 * object API recovers. Thread-safe.
 */
internal class StoreCircuitBreaker(
    private val clock: Clock,
) {
    private var consecutiveFailures = 0
    private var nextProbeAtMillis = 0L
    private var probeIntervalMillis = INITIAL_PROBE_INTERVAL_MILLIS

    /** Returns whether a call may be made now; while the breaker is open, a permitted call is the next probe. */
    @Synchronized
    fun tryAcquire(): Boolean {
        if (consecutiveFailures < FAILURES_TO_OPEN) return true
        val now = clock.nowMillis()
        if (now < nextProbeAtMillis) return false
        nextProbeAtMillis = now + probeIntervalMillis
        probeIntervalMillis = minOf(probeIntervalMillis * 2, MAXIMUM_PROBE_INTERVAL_MILLIS)
        return true
    }

    /** Records whether the object API answered a call. */
    @Synchronized
    fun record(isAnswered: Boolean) {
        consecutiveFailures = if (isAnswered) 0 else consecutiveFailures + 1
        if (isAnswered) probeIntervalMillis = INITIAL_PROBE_INTERVAL_MILLIS
    }

    private companion object {
        const val FAILURES_TO_OPEN = 3
        const val INITIAL_PROBE_INTERVAL_MILLIS = 500L
        const val MAXIMUM_PROBE_INTERVAL_MILLIS = 8_000L
    }
}
