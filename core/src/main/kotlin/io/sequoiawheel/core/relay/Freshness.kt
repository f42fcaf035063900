/*
 * How old the knowledge of the configuration is. A monotonic clock stands still while the machine is suspended, and the
 * time of day may be set at any moment, so neither alone bounds the age. Both are read: the larger elapsed time counts,
 * and where they disagree the knowledge counts as unproven until the store is read again.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** A point in time on both clocks. */
data class Instant(
    val monotonicMillis: Long,
    val wallMillis: Long,
)

/**
 * Tracks the moment at which the configuration in force was last known to be the newest. Not thread-safe.
 *
 * @param limitMillis age from which keyed requests are refused
 */
class Freshness(
    private val monotonic: Clock,
    private val wall: Clock,
    private val limitMillis: Long,
) {
    private var proof: Instant? = null
    private var lastSeen: Instant = now()
    private var suspended = false

    /** Returns both clocks' readings; taken before a call to the store, they date what the call returns. */
    fun now(): Instant = Instant(monotonic.nowMillis(), wall.nowMillis())

    /** Records that the configuration was the newest at [asOf] or later. */
    fun proven(asOf: Instant) {
        observe()
        val current = proof
        if (current != null && asOf.monotonicMillis < current.monotonicMillis) return
        if (disagreement(asOf, now()) > CLOCK_TOLERANCE_MILLIS) return
        proof = asOf
        suspended = false
    }

    /** Compares the clocks since the last call, and withdraws the proof if one of them stood still or was set. */
    fun observe() {
        val now = now()
        if (disagreement(lastSeen, now) > CLOCK_TOLERANCE_MILLIS) suspended = true
        lastSeen = now
    }

    /** Returns the age in milliseconds, or [Long.MAX_VALUE] if it cannot be shown. */
    fun ageMillis(): Long {
        observe()
        val since = proof
        if (since == null || suspended) return Long.MAX_VALUE
        val now = now()
        return maxOf(now.monotonicMillis - since.monotonicMillis, now.wallMillis - since.wallMillis)
    }

    /** Whether the configuration is known to be fresh enough to honour API keys. */
    fun isFresh(): Boolean = ageMillis() <= limitMillis

    /** Whether a step of the clocks withdrew the proof, so that one read of the store restores it. */
    fun isWithdrawn(): Boolean {
        observe()
        return suspended
    }

    /** Returns the time between two readings in milliseconds, the smaller of both clocks', or null if they disagree. */
    fun offsetMillis(
        from: Instant,
        to: Instant,
    ): Long? =
        minOf(to.monotonicMillis - from.monotonicMillis, to.wallMillis - from.wallMillis)
            .takeIf { disagreement(from, to) <= CLOCK_TOLERANCE_MILLIS }

    private fun disagreement(
        from: Instant,
        to: Instant,
    ): Long {
        val monotonicMillis = to.monotonicMillis - from.monotonicMillis
        val wallMillis = to.wallMillis - from.wallMillis
        return kotlin.math.abs(monotonicMillis - wallMillis)
    }

    private companion object {
        /** Two readings that are taken one after the other on a busy processor differ by less. */
        const val CLOCK_TOLERANCE_MILLIS = 300L
    }
}
