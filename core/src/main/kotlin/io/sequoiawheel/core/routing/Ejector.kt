/*
 * Ejection of failing replicas. It acts only on what this entry instance saw itself, so a fault of its own links can
 * eject at most half of the replicas it sees.
 */
package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Ejects replicas after consecutive failures, for a time that doubles with each ejection. Thread-safe.
 *
 * @param threshold consecutive failures that eject a replica
 * @param baseMillis duration of the first ejection
 * @param maximumMillis longest ejection
 */
class Ejector(
    private val threshold: Int = 3,
    private val baseMillis: Long = 2_000,
    private val maximumMillis: Long = 60_000,
) {
    private val records = ConcurrentHashMap<InstanceId, Record>()

    /** Records a success, which ends an ejection and forgets earlier failures. */
    fun succeeded(replica: InstanceId) {
        records.remove(replica)
    }

    /** Records a failure of [replica] itself; a refusal for lack of room is none. */
    fun failed(
        replica: InstanceId,
        nowMillis: Long,
    ) {
        records.compute(replica) { _, old -> afterFailure(old ?: Record(), nowMillis) }
    }

    /** Returns when the ejection of [replica] ends, or null if it is not ejected at [nowMillis]. */
    fun ejectedUntil(
        replica: InstanceId,
        nowMillis: Long,
    ): Long? = records[replica]?.untilMillis?.takeIf { it > nowMillis }

    /**
     * Returns the members of [group] that may be used. The group is all replicas of one service in one zone. At most
     * half of it stays ejected; those whose ejection ends first are used again early.
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

    /** Forgets replicas that are not in [known]. */
    fun retain(known: Set<InstanceId>) {
        records.keys.retainAll(known)
    }

    private fun afterFailure(
        old: Record,
        nowMillis: Long,
    ): Record {
        val failures = old.failures + 1
        val ejects = failures >= threshold && old.untilMillis <= nowMillis
        if (!ejects) return old.copy(failures = failures)
        val duration = (baseMillis shl old.ejections.coerceAtMost(MAXIMUM_DOUBLINGS)).coerceAtMost(maximumMillis)
        return Record(failures, old.ejections + 1, nowMillis + duration)
    }

    private data class Record(
        val failures: Int = 0,
        val ejections: Int = 0,
        val untilMillis: Long = Long.MIN_VALUE,
    )

    private companion object {
        /** Keeps the shift far from overflow. */
        const val MAXIMUM_DOUBLINGS = 20
    }
}
