package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.InstanceId

/** Collects the reports of an instance's tree children. Thread-safe. */
class SubtreeProgress(
    private val applied: AppliedConfiguration,
) {
    private class Child(
        val report: SubtreeReport,
        val receivedAt: Long,
    )

    private val children = HashMap<InstanceId, Child>()

    /** Replaces the report of [child]. */
    @Synchronized
    fun receive(
        child: InstanceId,
        report: SubtreeReport,
        nowMillis: Long,
    ) {
        children[child] = Child(report, nowMillis)
    }

    /** Returns the report of this instance and the children that reported within [FRESH_MILLIS]. */
    @Synchronized
    fun report(nowMillis: Long): SubtreeReport {
        children.values.removeIf { nowMillis - it.receivedAt > FRESH_MILLIS }
        val own = SubtreeReport(1, applied.generations())
        return children.values.fold(own) { sum, child -> sum + child.report }
    }

    companion object {
        /** Three digest comparisons, in milliseconds; a child that moved in the tree is then no longer counted. */
        const val FRESH_MILLIS = 6_000L
    }
}
