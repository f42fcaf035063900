package io.sequoiawheel.core.admission

/**
 * The share of a replica's memory that predictions may fill. Thread-safe. It decreases by a tenth when the replica
 * reports a preemption. It increases slowly, and only while requests are denied for lack of room: without demand a
 * higher share gains nothing and risks preemptions.
 *
 * @param minimum lowest factor; below it a long generation would no longer be admitted
 * @param initial factor before any demand or preemption
 * @param maximum highest factor
 * @param recoveryPerSecond increase per second of denied requests
 * @param demandMillis time after a denial that counts as demand
 * @param settleMillis time after a decrease in which further preemptions count as the same overload
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

    /** Records that a request was denied for lack of room. */
    @Synchronized
    fun reportDenial(nowMillis: Long) {
        value(nowMillis)
        demandUntilMillis = maxOf(demandUntilMillis ?: nowMillis, nowMillis + demandMillis)
    }

    /** Takes the preemption counter of a load report; [startId] tells a restart, which resets the counter. */
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
        factor = maxOf(minimum, value(nowMillis) * DECREASE)
    }

    private companion object {
        const val DECREASE = 0.9
        const val MILLIS_PER_SECOND = 1000.0
    }
}
