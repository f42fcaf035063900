package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.LoadReport

/**
 * Compares the load report of a replica with the reservations of a ledger. What the replica runs beyond them belongs to
 * instances that the ledger does not know: those that lost contact, or whose granting instance died. Not thread-safe.
 */
internal class UnexplainedLoad {
    private val counts = ArrayDeque<Count>()
    private var watchedUntilMillis = ChargeBook.NEVER_MILLIS

    /**
     * Requests that nobody registered here accounts for. It is the largest count of the last reports, because a
     * reservation that ended at the replica but not yet here hides one request for a moment.
     */
    val requests: Int get() = counts.maxOfOrNull { it.requests } ?: 0

    /** Looks for unexplained load until [untilMillis]. */
    fun watch(untilMillis: Long) {
        watchedUntilMillis = maxOf(watchedUntilMillis, untilMillis)
    }

    /** Counts [orphans] that were known until now; the next reports tell whether they still run. */
    fun add(
        orphans: Int,
        nowMillis: Long,
    ) {
        if (orphans > 0) counts.addLast(Count(nowMillis, requests + orphans))
    }

    /** Takes a report and the times since which the known reservations are at the replica. */
    fun report(
        report: LoadReport,
        knownSince: List<Long>,
        nowMillis: Long,
    ) {
        val sampleMillis = nowMillis - report.ageMillis
        // A request that was granted just before the sample may not have reached the replica; it must not hide another.
        val known = knownSince.count { it <= sampleMillis - DISPATCH_MILLIS }
        val isWatched = nowMillis <= watchedUntilMillis
        val unknown = if (isWatched) (report.running + report.waiting - known).coerceAtLeast(0) else 0
        counts.addLast(Count(nowMillis, unknown))
        counts.removeIf { nowMillis - it.atMillis > KEPT_MILLIS }
    }

    /** Forgets everything, because the replica started anew. */
    fun clear() = counts.clear()

    private class Count(
        val atMillis: Long,
        val requests: Int,
    )

    private companion object {
        /** Longest usual time from a grant until the request runs at the replica. */
        const val DISPATCH_MILLIS = 200L

        /** Eight reports at the usual interval. */
        const val KEPT_MILLIS = 4_000L
    }
}
