package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName

/**
 * A replica's registration in the platform's list.
 *
 * @property address host and port
 * @property coldForMillis remaining time for which the replica is cold, as of when it wrote the entry
 * @property startedAtMillis start time in Unix milliseconds, which identifies the incarnation of an id; null if not
 *   provided
 * @property version version of the service that the replica runs, or null if not provided
 */
data class ReplicaEntry(
    val id: InstanceId,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val zone: ZoneName,
    val slots: Int,
    val isDraining: Boolean,
    val coldForMillis: Long,
    val startedAtMillis: Long?,
    val version: String? = null,
) {
    val address: String get() = "$host:$port"

    /** Whether [other] describes the same incarnation of the replica. */
    fun isSameStart(other: ReplicaEntry): Boolean = startedAtMillis == other.startedAtMillis && address == other.address

    /** Whether this entry describes an earlier incarnation of the replica than [other]. */
    fun isEarlierStart(other: ReplicaEntry): Boolean =
        startedAtMillis != null && other.startedAtMillis != null && startedAtMillis < other.startedAtMillis
}
