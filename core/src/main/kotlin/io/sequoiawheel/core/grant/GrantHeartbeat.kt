package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/**
 * The report of an entry instance to the granting instance of one replica, sent about once a second.
 *
 * @property sequence sequence number; increases with each heartbeat of this sender for this replica
 * @property echo the nonce of the last answer that the sender received from this receiver, or 0; the registration is
 *   in force only through echoed nonces, so that a delayed heartbeat cannot extend it
 * @property startId the process of the replica that [credit] and [reservations] belong to
 * @property credit the unused credit of the sender
 * @property reservations all reservations of the sender if [isComplete], otherwise those made from its credit
 *   since the last answered heartbeat
 * @property finished requests that ended since the last answered heartbeat, in case their release was lost
 * @property inherited if the sender was the granting instance until now: the reservations of instances that do not
 *   report to the new one themselves; null otherwise
 * @property knownLimit the last concurrency limit that the sender received for [startId]
 * @property isLeaving whether the sender ends its registration with the receiver
 */
data class GrantHeartbeat(
    val instance: InstanceId,
    val sequence: Long,
    val echo: Long,
    val startId: String,
    val credit: Capacity,
    val reservations: List<Reservation>,
    val isComplete: Boolean,
    val finished: Set<RequestId> = emptySet(),
    val inherited: List<Reservation>? = null,
    val knownLimit: Int = 0,
    val isLeaving: Boolean = false,
)
