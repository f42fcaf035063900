package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName

/**
 * What a replica says of itself in the platform's list.
 *
 * @property address host and port
 * @property coldForMillis how much longer the replica stays cold, from the moment at which it wrote this
 * @property startedAtMillis Unix time of its start, which tells two starts under one id apart; null if not given
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
) {
    val address: String get() = "$host:$port"

    /** Whether [other] is about the same start of the replica. */
    fun isSameStart(other: ReplicaEntry): Boolean = startedAtMillis == other.startedAtMillis && address == other.address

    /** Whether this entry is about an earlier start of the replica than [other]. */
    fun isEarlierStart(other: ReplicaEntry): Boolean =
        startedAtMillis != null && other.startedAtMillis != null && startedAtMillis < other.startedAtMillis
}
