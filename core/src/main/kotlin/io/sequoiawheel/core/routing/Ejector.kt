/*
 * Ejection of failing replicas. It is based only on failures that this entry instance observed, some of which may be
 * faults of its own network; therefore at most half of a group is ejected.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Ejects replicas after consecutive failures, for a duration that doubles with each ejection. Thread-safe.
 *
 * @param threshold number of consecutive failures after which a replica is ejected
 * @param baseMillis duration of the first ejection
 * @param maximumMillis longest ejection
 */
class Ejector(
    private val threshold: Int = 3,
    private val baseMillis: Long = 2_000,
    private val maximumMillis: Long = 60_000,
) {
    private val records = ConcurrentHashMap<InstanceId, Record>()

    /** Records a success, which ends an ejection and resets the failure count. */
    fun recordSuccess(replica: InstanceId) {
        records.remove(replica)
    }

    /** Records a failure of [replica]. A refusal for lack of capacity must not be recorded as a failure. */
    fun recordFailure(
        replica: InstanceId,
        nowMillis: Long,
    ) {
        records.compute(replica) { _, previous -> afterFailure(previous ?: Record(), nowMillis) }
    }

    /** Returns when the ejection of [replica] ends, or null if it is not ejected at [nowMillis]. */
    fun ejectedUntil(
        replica: InstanceId,
        nowMillis: Long,
    ): Long? = records[replica]?.untilMillis?.takeIf { it > nowMillis }

    /**
     * Returns the members of [group] that may be used. The group contains all replicas of one service in one zone.
     * At most half of it stays ejected; replicas whose ejection ends first are used again early.
     */
    fun usable(
        group: Collection<InstanceId>,
        nowMillis: Long,
    ): Set<InstanceId> {
        val ejected =
            group
                .mapNotNull { replica -> ejectedUntil(replica, nowMillis)?.let { replica to it } }
                .sortedByDescending { it.second }
                .take(group.size / 2)
                .map { it.first }
        return group.toSet() - ejected.toSet()
    }

    /** Removes the state of replicas that are not in [known]. */
    fun retain(known: Set<InstanceId>) {
        records.keys.retainAll(known)
    }

    private fun afterFailure(
        previous: Record,
        nowMillis: Long,
    ): Record {
        val failures = previous.failures + 1
        val ejects = failures >= threshold && previous.untilMillis <= nowMillis
        if (!ejects) return previous.copy(failures = failures)
        val duration = (baseMillis shl previous.ejections.coerceAtMost(MAXIMUM_DOUBLINGS)).coerceAtMost(maximumMillis)
        return Record(failures, previous.ejections + 1, nowMillis + duration)
    }

    private data class Record(
        val failures: Int = 0,
        val ejections: Int = 0,
        val untilMillis: Long = Long.MIN_VALUE,
    )

    private companion object {
        /** Prevents the shift from overflowing. */
        const val MAXIMUM_DOUBLINGS = 20
    }
}
