package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import java.util.TreeMap

/** Counts calls per second and enforces the budget with token buckets that hold one second of calls. Thread-safe. */
internal class CallMeter(
    private val clock: Clock,
    private val budget: CallBudget,
) {
    private val bySecond = TreeMap<Long, CallCounts>()
    private val writes = TokenBucket(budget.writesPerSecond)
    private val reads = TokenBucket(budget.readsPerSecond)

    enum class Call { READ, WRITE, WATCH }

    /** Counts [call]; returns false if it is refused because of the budget or an [outage]. */
    @Synchronized
    fun admit(
        call: Call,
        outage: Boolean,
    ): Boolean {
        val bucket = if (call == Call.WRITE) writes else reads
        val admitted = !outage && bucket.tryAcquire(clock.nowMillis())
        val second = clock.nowMillis() / MILLIS_PER_SECOND
        val previous = bySecond[second] ?: CallCounts()
        bySecond[second] =
            when {
                !admitted -> previous.copy(refused = previous.refused + 1)
                call == Call.READ -> previous.copy(reads = previous.reads + 1)
                call == Call.WRITE -> previous.copy(writes = previous.writes + 1)
                else -> previous.copy(watches = previous.watches + 1)
            }
        if (bySecond.size > MAXIMUM_SECONDS) bySecond.pollFirstEntry()
        return admitted
    }

    @Synchronized
    fun snapshot(): Map<Long, CallCounts> = TreeMap(bySecond)

    private class TokenBucket(
        private val perSecond: Int,
    ) {
        private var tokens = perSecond.toDouble()
        private var lastRefillMillis = Long.MIN_VALUE

        fun tryAcquire(now: Long): Boolean {
            if (lastRefillMillis != Long.MIN_VALUE) {
                tokens += (now - lastRefillMillis) * perSecond / MILLIS_PER_SECOND.toDouble()
            }
            lastRefillMillis = now
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
