/*
 * How many concurrent requests a replica may have, over all entry instances together, while it warms up. The ledger of
 * its granting instance owns the ramp, so that many entry instances cannot add up to more than the replica bears.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy

/**
 * The concurrency limit of one replica. It starts at the policy's initial value and grows by the policy's factor after
 * each step in which requests got their first token and all did so in time. Not thread-safe; the ledger guards it.
 *
 * @param targetMillis first-token time that is in time as long as no warm figure is known
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
    private var inTime = 0
    private var late = 0
    private var warmFirstTokenMillis: Double? = null

    /** The limit of concurrent requests now. */
    val limit: Int get() = allowance.toInt().coerceIn(1, maximum.coerceAtLeast(1))

    /** Whether the replica has reached its full concurrency. */
    val isWarm: Boolean get() = allowance >= maximum

    /**
     * Takes a load report. A new start or a report that turns cold begins again; one that turns warm ends the ramp.
     * What a replica that is not cold runs at this moment is proof that it bears as much.
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

    /** Raises the limit to what another granting instance had reached for [startId]. */
    fun adopt(
        startId: String,
        limit: Int,
    ) {
        if (startId == this.startId && !reportedCold) allowance = maxOf(allowance, limit.toDouble())
    }

    /** Records the time from dispatch to the first token of one request. */
    fun firstToken(
        millis: Long,
        nowMillis: Long,
    ) {
        val bound = warmFirstTokenMillis?.let { maxOf(it * LATE_FACTOR, targetMillis.toDouble()) }
        if (millis > (bound ?: targetMillis.toDouble())) late++ else inTime++
        if (isWarm) {
            val previous = warmFirstTokenMillis ?: millis.toDouble()
            warmFirstTokenMillis = previous + (millis - previous) * SMOOTHING
        }
        advance(nowMillis)
    }

    /** Ends a step whose time is over. */
    fun advance(nowMillis: Long) {
        if (nowMillis - stepStartMillis < policy.stepMillis) return
        when {
            isWarm && late > inTime && late >= MINIMUM_LATE -> restart(nowMillis)
            late == 0 && inTime > 0 && !isWarm -> allowance *= policy.growthFactor
        }
        stepStartMillis = nowMillis
        inTime = 0
        late = 0
    }

    private fun restart(nowMillis: Long) {
        allowance = policy.initialConcurrent.toDouble()
        stepStartMillis = nowMillis
        inTime = 0
        late = 0
    }

    private companion object {
        /** A warm replica whose first tokens take this many times longer than usual has turned cold. */
        const val LATE_FACTOR = 5.0

        /** A few late requests are noise, not a cold replica. */
        const val MINIMUM_LATE = 4

        const val SMOOTHING = 0.05
    }
}
