/*
 * Permission to stop runs at replicas that accept few requests or none. A pause or a request limit holds back new work,
 * which can be sent elsewhere. A stop cannot, and two replicas work on one generation until it arrives. A paused
 * replica therefore still receives a few stops, the stops at a limited one precede its other requests, and a generation
 * leaves either of them by plan only if the requests that stop its run there are reserved. Otherwise it stays.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/** Counts the stops that a replica receives during a pause that it requested. Confined to one thread. */
class PauseAllowance(
    private val clock: Clock,
) {
    private var startedMillis: Long? = null
    private var taken = 0

    /** Number of pauses so far; what was taken in an earlier one cannot be given back. */
    internal var pause = 0
        private set

    /** Whether the pause began so recently that requests sent now belong to those in flight at its start. */
    val isBeginning: Boolean get() = startedMillis?.let { clock.nowMillis() - it < IN_FLIGHT_MILLIS } ?: false

    /** Records that a pause begins. */
    internal fun begin() {
        startedMillis = clock.nowMillis()
        taken = 0
        pause++
    }

    /** Takes [count] requests of the current pause, or returns false if fewer are left. */
    internal fun tryTake(count: Int): Boolean {
        if (taken + count > MAXIMUM_REQUESTS) return false
        taken += count
        return true
    }

    /** Returns [count] requests that were taken in [ofPause] and not sent. */
    internal fun giveBack(
        count: Int,
        ofPause: Int,
    ) {
        if (ofPause == pause) taken -= count
    }

    companion object {
        /** More than two requests in a pause break the users' rules. */
        const val MAXIMUM_REQUESTS = 2

        /** The users' rules count requests from half a second after the start of the pause; the rest is transit. */
        private const val IN_FLIGHT_MILLIS = 350L
    }
}

/**
 * The permission to stop one run at [replica]. Confined to one thread.
 *
 * @param limiter the request limits that replicas name
 */
class StopPermit(
    private val replica: Replica,
    private val limiter: RequestLimiter,
) {
    private var reservedPause = 0
    private var reservedInPause = 0
    private var hasToken = false
    private var isWaiting = false
    private var isClosed = false

    /**
     * Reserves what is needed to stop the run, unless it is reserved already. Returns false if the replica accepts too
     * few requests now.
     */
    fun reserve(): Boolean = (!replica.isPaused || reserveInPause()) && (!isLimited || reserveToken())

    /** Consumes the permission to send one stop now, a reserved one first. Returns false if it must not be sent. */
    fun tryUse(): Boolean {
        if (isClosed) return false
        // The token stays reserved if the pause forbids the request.
        val isAdmitted = (!isLimited || reserveToken()) && (!replica.isPaused || takeFromPause())
        if (isAdmitted) hasToken = false
        setWaiting(!isAdmitted && isLimited)
        return isAdmitted
    }

    /** Gives back what was reserved and not used. Nothing is sent with this permission any more. */
    fun close() {
        isClosed = true
        replica.pauseAllowance.giveBack(reservedInPause, reservedPause)
        reservedInPause = 0
        setWaiting(false)
    }

    private val isLimited get() = replica.requestLimit.perSecond != null

    private fun reserveInPause(): Boolean {
        val allowance = replica.pauseAllowance
        if (reservedPause == allowance.pause && reservedInPause > 0) return true
        if (!allowance.tryTake(TRIES)) return false
        reservedPause = allowance.pause
        reservedInPause = TRIES
        return true
    }

    private fun takeFromPause(): Boolean {
        val allowance = replica.pauseAllowance
        if (allowance.isBeginning) return true
        if (reservedPause != allowance.pause || reservedInPause == 0) return allowance.tryTake(1)
        reservedInPause--
        return true
    }

    private fun reserveToken(): Boolean {
        if (!hasToken) hasToken = limiter.tryAdmitStop(replica)
        return hasToken
    }

    private fun setWaiting(waits: Boolean) {
        if (waits == isWaiting) return
        isWaiting = waits
        replica.waitingStops += if (waits) 1 else -1
    }

    private companion object {
        /** A stop may be lost, or refused because the replica is busy with the run, and is then repeated. */
        const val TRIES = 2
    }
}
