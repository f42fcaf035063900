/*
 * The age of the local configuration. A monotonic clock stops while the machine is suspended, and the wall clock may be
 * set at any time, so neither alone bounds the age. Both are read: the larger elapsed time counts, and if they diverge,
 * the configuration counts as unconfirmed until the store is read again.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** Readings of both clocks at one point in time. */
data class ClockReading(
    val monotonicMillis: Long,
    val wallMillis: Long,
)

/**
 * Tracks the time as of which the configuration in force was last confirmed to be the newest. Not thread-safe.
 *
 * @param limitMillis age of the configuration above which requests with API keys are refused
 */
class Freshness(
    private val monotonic: Clock,
    private val wall: Clock,
    private val limitMillis: Long,
) {
    private var confirmedAt: ClockReading? = null
    private var lastSeen: ClockReading = now()
    private var invalidated = false

    /** Returns the readings of both clocks. Take them before a call to the store to date the state that it returns. */
    fun now(): ClockReading = ClockReading(monotonic.nowMillis(), wall.nowMillis())

    /** Records that the configuration was the newest at [asOf] or later. */
    fun confirm(asOf: ClockReading) {
        observe()
        val current = confirmedAt
        if (current != null && asOf.monotonicMillis < current.monotonicMillis) return
        if (clockDivergenceMillis(asOf, now()) > CLOCK_TOLERANCE_MILLIS) return
        confirmedAt = asOf
        invalidated = false
    }

    /**
     * Compares the progress of both clocks since the last call and invalidates the confirmation if one stopped or was
     * set.
     */
    fun observe() {
        val now = now()
        if (clockDivergenceMillis(lastSeen, now) > CLOCK_TOLERANCE_MILLIS) invalidated = true
        lastSeen = now
    }

    /** Returns the age in milliseconds, or [Long.MAX_VALUE] if it is not known. */
    fun ageMillis(): Long {
        observe()
        val since = confirmedAt
        if (since == null || invalidated) return Long.MAX_VALUE
        val now = now()
        return maxOf(now.monotonicMillis - since.monotonicMillis, now.wallMillis - since.wallMillis)
    }

    /** Whether the configuration is recent enough to accept API keys. */
    fun isFresh(): Boolean = ageMillis() <= limitMillis

    /** Whether a clock step invalidated the confirmation; one read of the store restores it. */
    fun isInvalidated(): Boolean {
        observe()
        return invalidated
    }

    /**
     * Returns the smaller elapsed time of both clocks between two readings in milliseconds, or null if they diverge.
     */
    fun offsetMillis(
        from: ClockReading,
        to: ClockReading,
    ): Long? =
        minOf(to.monotonicMillis - from.monotonicMillis, to.wallMillis - from.wallMillis)
            .takeIf { clockDivergenceMillis(from, to) <= CLOCK_TOLERANCE_MILLIS }

    private fun clockDivergenceMillis(
        from: ClockReading,
        to: ClockReading,
    ): Long {
        val monotonicMillis = to.monotonicMillis - from.monotonicMillis
        val wallMillis = to.wallMillis - from.wallMillis
        return kotlin.math.abs(monotonicMillis - wallMillis)
    }

    private companion object {
        /** Consecutive readings of the two clocks on a busy processor differ by less than this. */
        const val CLOCK_TOLERANCE_MILLIS = 300L
    }
}
