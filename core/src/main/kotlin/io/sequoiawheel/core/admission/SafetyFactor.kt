package io.sequoiawheel.core.admission

/**
 * The share of a replica's memory that predictions may fill. Thread-safe. It decreases by a tenth when the replica
 * reports a preemption and recovers slowly, so that it settles where the predictions of this replica's traffic hold.
 *
 * @param minimum lowest factor; below it a long generation would no longer be admitted
 * @param maximum factor of a replica that never preempts
 * @param recoveryPerSecond increase in each second without a preemption
 * @param settleMillis time after a decrease in which further preemptions count as the same overload
 */
class SafetyFactor(
    private val minimum: Double = 0.6,
    private val maximum: Double = 0.95,
    private val recoveryPerSecond: Double = 0.001,
    private val settleMillis: Long = 5_000,
) {
    private var factor = maximum
    private var changedAtMillis: Long? = null
    private var decreasedAtMillis: Long? = null
    private var startId: String? = null
    private var seenPreemptions = 0L

    /** Returns the factor at [nowMillis]. */
    @Synchronized
    fun value(nowMillis: Long): Double {
        val since = changedAtMillis
        changedAtMillis = maxOf(nowMillis, since ?: nowMillis)
        if (since != null && nowMillis > since) {
            val recovered = factor + recoveryPerSecond * (nowMillis - since) / MILLIS_PER_SECOND
            factor = minOf(maximum, recovered)
        }
        return factor
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
