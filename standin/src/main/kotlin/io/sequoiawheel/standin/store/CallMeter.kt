package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import java.util.TreeMap

/** Counts calls per second and enforces the budget as a token bucket of one second. Thread-safe. */
internal class CallMeter(
    private val clock: Clock,
    private val budget: CallBudget,
) {
    private val bySecond = TreeMap<Long, CallCounts>()
    private val writes = Bucket(budget.writesPerSecond)
    private val reads = Bucket(budget.readsPerSecond)

    enum class Call { READ, WRITE, WATCH }

    /** Counts [call]; returns whether the budget allows it. */
    @Synchronized
    fun admit(
        call: Call,
        outage: Boolean,
    ): Boolean {
        val bucket = if (call == Call.WRITE) writes else reads
        val admitted = !outage && bucket.take(clock.nowMillis())
        val second = clock.nowMillis() / MILLIS_PER_SECOND
        val before = bySecond[second] ?: CallCounts()
        bySecond[second] =
            when {
                !admitted -> before.copy(refused = before.refused + 1)
                call == Call.READ -> before.copy(reads = before.reads + 1)
                call == Call.WRITE -> before.copy(writes = before.writes + 1)
                else -> before.copy(watches = before.watches + 1)
            }
        if (bySecond.size > MAXIMUM_SECONDS) bySecond.pollFirstEntry()
        return admitted
    }

    @Synchronized
    fun snapshot(): Map<Long, CallCounts> = TreeMap(bySecond)

    private class Bucket(
        private val perSecond: Int,
    ) {
        private var tokens = perSecond.toDouble()
        private var filledAt = Long.MIN_VALUE

        fun take(now: Long): Boolean {
            if (filledAt != Long.MIN_VALUE) {
                tokens += (now - filledAt) * perSecond / MILLIS_PER_SECOND.toDouble()
            }
            filledAt = now
            tokens = tokens.coerceAtMost(perSecond.toDouble())
            if (tokens < 1.0) return false
            tokens -= 1.0
            return true
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val MAXIMUM_SECONDS = 100_000
    }
}
