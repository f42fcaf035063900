package io.sequoiawheel.core.grant

import io.sequoiawheel.core.routing.ReplicaState

/**
 * The granting instance's answer to a heartbeat.
 *
 * @property nonce the value that the next heartbeat echoes; 0 if the receiver does not grant for the replica or the
 *   sender has ended its registration
 * @property sequence the sequence number of the answered heartbeat
 * @property credit the capacity that the sender may use without asking, based on the state in its heartbeat
 * @property limit the current concurrency limit of the replica
 */
data class GrantAnswer(
    val nonce: Long,
    val sequence: Long,
    val startId: String,
    val credit: Capacity,
    val limit: Int,
    val state: ReplicaState,
) {
    /** Whether the sender is registered here once it echoes [nonce]. */
    val isResponsible: Boolean get() = nonce != 0L
}
