package io.sequoiawheel.core.relay

import io.sequoiawheel.core.rollout.RolloutReport

/** The last reports of this instance, used to subtract its own load from a received total. Confined to one thread. */
internal class SentReports {
    private val reports = ArrayDeque<PeerReport>()

    /** The work in the latest report. */
    val latestWork: WorkByReplica get() = reports.lastOrNull()?.work.orEmpty()

    /** What the latest report said of rollouts. */
    val latestVersions: RolloutReport get() = reports.lastOrNull()?.versions ?: RolloutReport.NONE

    fun add(report: PeerReport) {
        reports.addLast(report)
        if (reports.size > MAXIMUM_KEPT) reports.removeFirst()
    }

    /**
     * Returns the latest report again with a new [sequence] and [eraReport], or null before the first report. It is not
     * kept: many answers would displace the report that the totals include.
     */
    fun repeatLatest(
        sequence: Long,
        eraReport: EraReport,
    ): PeerReport? = reports.lastOrNull()?.copy(sequence = sequence, wantsTotals = false, storeEra = eraReport)

    /** Returns the work in the report with [sequence], or in the one that it repeats, or null if none is retained. */
    operator fun get(sequence: Long): WorkByReplica? = reports.lastOrNull { it.sequence <= sequence }?.work

    private companion object {
        /** Three seconds at ten reports per second, the lifetime of a total. */
        const val MAXIMUM_KEPT = 32
    }
}
