package io.sequoiawheel.core.admission

/**
 * The share of a replica's memory that predicted use may reach. Thread-safe. It decreases by a tenth when the replica
 * reports a preemption. It increases slowly, and only while requests are denied for lack of memory: without demand a
 * higher share has no benefit and risks preemptions.
 *
 * @param minimum lowest factor; with a lower one a long generation could no longer be admitted
 * @param initial factor before any demand or preemption
 * @param maximum highest factor
 * @param recoveryPerSecond increase per second while requests are denied
 * @param demandMillis how long after a denial there is considered to be demand
 * @param settleMillis how long after a decrease further preemptions are attributed to the same overload
 */
class SafetyFactor(
    private val minimum: Double = 0.6,
    private val initial: Double = 0.92,
    private val maximum: Double = 0.95,
    private val recoveryPerSecond: Double = 0.002,
    private val demandMillis: Long = 200,
    private val settleMillis: Long = 5_000,
) {
    private var factor = initial
    private var recoveredUntilMillis: Long? = null
    private var demandUntilMillis: Long? = null
    private var decreasedAtMillis: Long? = null
    private var startId: String? = null
    private var seenPreemptions = 0L

    /** Returns the factor at [nowMillis]. */
    @Synchronized
    fun value(nowMillis: Long): Double {
        val since = recoveredUntilMillis ?: nowMillis
        recoveredUntilMillis = maxOf(nowMillis, since)
        val demanded = minOf(nowMillis, demandUntilMillis ?: since) - since
        if (demanded > 0) factor = minOf(maximum, factor + recoveryPerSecond * demanded / MILLIS_PER_SECOND)
        return factor
    }

    /** Records that a request was denied for lack of memory. */
    @Synchronized
    fun reportDenial(nowMillis: Long) {
        value(nowMillis)
        demandUntilMillis = maxOf(demandUntilMillis ?: nowMillis, nowMillis + demandMillis)
    }

    /**
     * Applies the preemption counter of a load report; a changed [startId] indicates a restart, which resets the
     * counter.
     */
    @Synchronized
    fun report(
        startId: String,
        preemptions: Long,
        nowMillis: Long,
    ) {
        val isSameStart = startId == this.startId
        val hasPreempted = isSameStart && preemptions > seenPreemptions
        this.startId = startId
        seenPreemptions = if (isSameStart) maxOf(seenPreemptions, preemptions) else preemptions
        if (hasPreempted) decrease(nowMillis)
    }

    private fun decrease(nowMillis: Long) {
        val last = decreasedAtMillis
        if (last != null && nowMillis - last < settleMillis) return
        decreasedAtMillis = nowMillis
        factor = maxOf(minimum, value(nowMillis) * DECREASE_FACTOR)
    }

    private companion object {
        const val DECREASE_FACTOR = 0.9
        const val MILLIS_PER_SECOND = 1000.0
    }
}
