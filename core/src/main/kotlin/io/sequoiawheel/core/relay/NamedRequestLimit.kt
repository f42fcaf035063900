package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock

/**
 * What an instance knows of the request rate that one incarnation of a replica accepts from all instances together. It
 * learns the rate from the responses that it receives and from the reports of other instances. Confined to one thread.
 *
 * @param onStart called when a limit is named after none was
 */
class NamedRequestLimit(
    private val clock: Clock,
    private val onStart: () -> Unit = {},
) {
    private var observedAtMillis: Long? = null
    private var endedAtMillis: Long? = null

    /** Requests per second, or null if the replica names no limit. */
    var perSecond: Double? = null
        private set

    /** Records that a response named the limit [newPerSecond]. */
    fun name(newPerSecond: Double) = set(newPerSecond, clock.nowMillis())

    /**
     * Records that a response named no limit, which ends the limit unless the request was sent, at [sentAtMillis],
     * before the limit was last observed: responses on different connections may overtake each other.
     */
    fun omit(sentAtMillis: Long) {
        if (sentAtMillis >= (observedAtMillis ?: return)) set(null, clock.nowMillis())
    }

    /**
     * Records what another instance observed. Since reports may be late, one that allows more requests counts only if
     * it is clearly newer than what is known. Returns false if the report was ignored.
     */
    fun applyReport(report: LimitObservation): Boolean {
        val known = observedAtMillis
        val isStricter = report.perSecond != null && report.perSecond < (perSecond ?: Double.MAX_VALUE)
        val toleranceMillis = if (isStricter) 0 else REPORT_DELAY_MILLIS
        if (known != null && report.observedAtMillis <= known + toleranceMillis) return false
        if (known == null && report.perSecond == null) return false
        set(report.perSecond, report.observedAtMillis)
        return true
    }

    /** Returns what other instances should know: the limit, or for some time that it has ended. */
    fun observation(startedAtMillis: Long): LimitObservation? {
        val observed = observedAtMillis ?: return null
        val isReported = perSecond != null || clock.nowMillis() - (endedAtMillis ?: observed) <= ENDED_REPORT_MILLIS
        return if (isReported) LimitObservation(startedAtMillis, perSecond, observed) else null
    }

    private fun set(
        newPerSecond: Double?,
        atMillis: Long,
    ) {
        if (newPerSecond != null && perSecond == null) onStart()
        if (newPerSecond == null && perSecond != null) endedAtMillis = clock.nowMillis()
        perSecond = newPerSecond
        observedAtMillis = atMillis
    }

    private companion object {
        /** Longest time that a report is assumed to take from one instance to another. */
        const val REPORT_DELAY_MILLIS = 1_000L

        /** Time in which the end of a limit reaches all instances, also if some reports are lost. */
        const val ENDED_REPORT_MILLIS = 10_000L
    }
}
