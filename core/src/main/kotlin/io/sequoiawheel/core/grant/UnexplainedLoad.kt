package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.LoadReport

/**
 * Compares the load reports of a replica with the reservations of a ledger. Requests that the replica runs without a
 * reservation belong to instances that the ledger does not know: they lost their connection to it, or their granting
 * instance crashed. Not thread-safe.
 */
internal class UnexplainedLoad {
    private val samples = ArrayDeque<Sample>()
    private var watchedUntilMillis = CapacityUsage.NEVER_MILLIS

    /**
     * The number of requests at the replica without a reservation. This is the maximum over the recent reports, because
     * a request that has ended at the replica but is still reserved here hides another one in a single report.
     */
    val requests: Int get() = samples.maxOfOrNull { it.requests } ?: 0

    /** Checks for unexplained load until [untilMillis]. */
    fun watch(untilMillis: Long) {
        watchedUntilMillis = maxOf(watchedUntilMillis, untilMillis)
    }

    /** Adds [orphans] whose reservations were removed; later reports show whether they still run. */
    fun add(
        orphans: Int,
        nowMillis: Long,
    ) {
        if (orphans > 0) samples.addLast(Sample(nowMillis, requests + orphans))
    }

    /** Applies a report. [reservedSinceMillis] holds the start time of each known reservation. */
    fun report(
        report: LoadReport,
        reservedSinceMillis: List<Long>,
        nowMillis: Long,
    ) {
        val sampleMillis = nowMillis - report.ageMillis
        // A request granted just before the sample may not have reached the replica yet; it must not hide another one.
        val knownRequests = reservedSinceMillis.count { it <= sampleMillis - MAXIMUM_DISPATCH_MILLIS }
        val isWatched = nowMillis <= watchedUntilMillis
        val excess = if (isWatched) (report.running + report.waiting - knownRequests).coerceAtLeast(0) else 0
        samples.addLast(Sample(nowMillis, excess))
        samples.removeIf { nowMillis - it.atMillis > RETENTION_MILLIS }
    }

    /** Clears all samples after the replica restarted. */
    fun clear() = samples.clear()

    private class Sample(
        val atMillis: Long,
        val requests: Int,
    )

    private companion object {
        /** Longest usual time from a grant until the replica runs the request. */
        const val MAXIMUM_DISPATCH_MILLIS = 200L

        /** Eight reports at the usual interval. */
        const val RETENTION_MILLIS = 4_000L
    }
}
