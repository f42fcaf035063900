package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.InstanceId

/** Aggregates the in-force reports of an instance's children in the relay tree. Thread-safe. */
class SubtreeProgress(
    private val applied: AppliedConfiguration,
) {
    private class ChildReport(
        val report: SubtreeReport,
        val receivedAt: Long,
    )

    private val childReports = HashMap<InstanceId, ChildReport>()

    /** Stores [report] as the latest report of [child]. */
    @Synchronized
    fun receive(
        child: InstanceId,
        report: SubtreeReport,
        nowMillis: Long,
    ) {
        childReports[child] = ChildReport(report, nowMillis)
    }

    /** Returns the combined report of this instance and the children that reported within [REPORT_LIFETIME_MILLIS]. */
    @Synchronized
    fun report(nowMillis: Long): SubtreeReport {
        childReports.values.removeIf { nowMillis - it.receivedAt > REPORT_LIFETIME_MILLIS }
        val own = SubtreeReport(1, applied.generations())
        return childReports.values.fold(own) { sum, child -> sum + child.report }
    }

    companion object {
        /** Three intervals of the digest comparison. After it a child that moved in the tree is no longer counted. */
        const val REPORT_LIFETIME_MILLIS = 6_000L
    }
}
