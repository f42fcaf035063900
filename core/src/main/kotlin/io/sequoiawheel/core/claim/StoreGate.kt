package io.sequoiawheel.core.claim

import io.sequoiawheel.core.model.Clock

/**
 * Keeps calls away from an object API that does not answer: after [FAILURES_TO_CLOSE] calls in a row without an answer,
 * one call at a time may try, at pauses that double from [FIRST_PROBE_MILLIS] to [LAST_PROBE_MILLIS]. Callers then
 * learn at once that their call did not run, and few undecided claims are left to release at the return. Thread-safe.
 */
internal class StoreGate(
    private val clock: Clock,
) {
    private var failures = 0
    private var nextProbeAt = 0L
    private var pause = FIRST_PROBE_MILLIS

    /** Returns whether a call may be made now. */
    @Synchronized
    fun mayTry(): Boolean {
        if (failures < FAILURES_TO_CLOSE) return true
        val now = clock.nowMillis()
        if (now < nextProbeAt) return false
        nextProbeAt = now + pause
        pause = minOf(pause * 2, LAST_PROBE_MILLIS)
        return true
    }

    /** Records whether the object API answered a call. */
    @Synchronized
    fun record(isAnswered: Boolean) {
        failures = if (isAnswered) 0 else failures + 1
        if (isAnswered) pause = FIRST_PROBE_MILLIS
    }

    private companion object {
        const val FAILURES_TO_CLOSE = 3
        const val FIRST_PROBE_MILLIS = 500L
        const val LAST_PROBE_MILLIS = 8_000L
    }
}
