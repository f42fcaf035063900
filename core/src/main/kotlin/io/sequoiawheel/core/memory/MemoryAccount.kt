package io.sequoiawheel.core.memory

import kotlin.math.pow

/** The part of a [MemoryBudget] that one connection holds. Every account must be closed with its connection. */
class MemoryAccount internal constructor(
    private val budget: MemoryBudget,
    private val onEvicted: () -> Unit,
    openedMillis: Long,
) {
    private var recentProgress = 0.0
    private var updatedMillis = openedMillis
    private var holdingSinceMillis = openedMillis

    /** Memory that the account holds. */
    var heldBytes = 0L
        private set

    /** Whether the account was closed or evicted. */
    var isClosed = false
        private set

    /** Whether the account may be evicted. An owner that could not drop what it holds without harm clears this. */
    var isEvictable = true

    /**
     * Reserves [bytes], evicting other accounts if necessary. Returns false, and reserves nothing, if this account is
     * itself the one that makes the least progress for its bytes, or was closed.
     */
    fun tryReserve(bytes: Long): Boolean {
        if (isClosed || !budget.tryReserve(this, bytes)) return false
        heldBytes += bytes
        return true
    }

    /** Releases [bytes] that were reserved. Has no effect on a closed account, which holds nothing. */
    fun release(bytes: Long) {
        if (isClosed) return
        check(bytes <= heldBytes) { "releases $bytes of $heldBytes bytes" }
        heldBytes -= bytes
        budget.add(-bytes)
    }

    /** Records that the peer sent or read [bytes]. */
    fun recordProgress(bytes: Long) {
        val nowMillis = budget.nowMillis()
        recentProgress = progressAt(nowMillis) + bytes
        updatedMillis = nowMillis
    }

    /** Releases everything. May be called more than once. */
    fun close() {
        if (isClosed) return
        isClosed = true
        budget.remove(this)
        heldBytes = 0
    }

    internal fun evict() {
        close()
        onEvicted()
    }

    internal fun startHolding(nowMillis: Long) {
        holdingSinceMillis = nowMillis
    }

    /** Whether the peer has had time to make progress, and has made little of it for the bytes that are held. */
    internal fun isSlow(nowMillis: Long): Boolean =
        heldBytes > 0 &&
            nowMillis - holdingSinceMillis >= GRACE_MILLIS &&
            progressShare(nowMillis) < SLOW_SHARE

    /** Returns the recent progress in relation to the bytes that are held. */
    internal fun progressShare(nowMillis: Long): Double = (progressAt(nowMillis) + 1) / heldBytes

    private fun progressAt(nowMillis: Long): Double =
        recentProgress * HALF.pow((nowMillis - updatedMillis) / HALF_LIFE_MILLIS)

    private companion object {
        const val HALF = 0.5

        /** Progress counts half after this time, so that a peer which stops is recognized within seconds. */
        const val HALF_LIFE_MILLIS = 1_000.0

        /** A peer is given the time of several round trips before it can be slow. */
        const val GRACE_MILLIS = 1_000L

        /** A peer that needs more than about ten seconds to send or read again what is held for it is slow. */
        const val SLOW_SHARE = 0.125
    }
}
