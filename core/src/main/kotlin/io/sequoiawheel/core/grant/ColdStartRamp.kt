/*
 * Limits the concurrent requests of a replica, summed over all entry instances, while it warms up. The ledger of the
 * granting instance owns the ramp, so that the entry instances together cannot exceed what the replica can serve.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy

/**
 * The concurrency limit of one replica. It starts at the policy's initial value and grows by the policy's factor after
 * each step in which requests received their first token and none was late. Not thread-safe; the ledger synchronizes
 * access.
 *
 * @param targetMillis longest first-token time that is not late while no first-token time of the warm replica is known
 */
class ColdStartRamp(
    private val policy: ColdStartPolicy,
    private val targetMillis: Long = 2_000,
) {
    private var startId: String? = null
    private var reportedCold = false
    private var allowance = policy.initialConcurrent.toDouble()
    private var maximum = policy.initialConcurrent
    private var stepStartMillis = 0L
    private var onTimeCount = 0
    private var lateCount = 0
    private var warmFirstTokenMillis: Double? = null

    /** The current limit of concurrent requests. */
    val limit: Int get() = allowance.toInt().coerceIn(1, maximum.coerceAtLeast(1))

    /** Whether the replica has reached its full concurrency. */
    val isWarm: Boolean get() = allowance >= maximum

    /**
     * Applies a load report. A new process, or a warm replica that reports itself cold, restarts the ramp; a change
     * from cold to warm ends it. The number of requests that a warm replica is running is a lower bound of its limit.
     */
    fun report(
        report: LoadReport,
        nowMillis: Long,
    ) {
        maximum = report.maximumConcurrent
        when {
            report.startId != startId -> restart(nowMillis)
            report.cold && !reportedCold && isWarm -> restart(nowMillis)
            !report.cold && reportedCold -> allowance = maximum.toDouble()
        }
        startId = report.startId
        reportedCold = report.cold
        if (!report.cold) allowance = maxOf(allowance, report.running.toDouble())
    }

    /** Raises the limit to the one that another granting instance reached for the same process [startId]. */
    fun adopt(
        startId: String,
        limit: Int,
    ) {
        if (startId == this.startId && !reportedCold) allowance = maxOf(allowance, limit.toDouble())
    }

    /** Records the time from dispatch to the first token of one request. */
    fun recordFirstToken(
        millis: Long,
        nowMillis: Long,
    ) {
        val lateThresholdMillis =
            warmFirstTokenMillis?.let {
                maxOf(
                    it * LATE_FIRST_TOKEN_FACTOR,
                    targetMillis.toDouble(),
                )
            }
        if (millis > (lateThresholdMillis ?: targetMillis.toDouble())) lateCount++ else onTimeCount++
        if (isWarm) {
            val previous = warmFirstTokenMillis ?: millis.toDouble()
            warmFirstTokenMillis = previous + (millis - previous) * SMOOTHING_FACTOR
        }
        advance(nowMillis)
    }

    /** Ends the current step if its duration has elapsed. */
    fun advance(nowMillis: Long) {
        if (nowMillis - stepStartMillis < policy.stepMillis) return
        when {
            isWarm && lateCount > onTimeCount && lateCount >= MINIMUM_LATE_COUNT -> restart(nowMillis)
            lateCount == 0 && onTimeCount > 0 && !isWarm -> allowance *= policy.growthFactor
        }
        stepStartMillis = nowMillis
        onTimeCount = 0
        lateCount = 0
    }

    private fun restart(nowMillis: Long) {
        allowance = policy.initialConcurrent.toDouble()
        stepStartMillis = nowMillis
        onTimeCount = 0
        lateCount = 0
    }

    private companion object {
        /** A first token of a warm replica is late if it takes this many times longer than the moving average. */
        const val LATE_FIRST_TOKEN_FACTOR = 5.0

        /** Fewer late requests in a step are treated as noise, not as a cold replica. */
        const val MINIMUM_LATE_COUNT = 4

        const val SMOOTHING_FACTOR = 0.05
    }
}
