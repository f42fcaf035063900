package io.sequoiawheel.core.grant

import io.sequoiawheel.core.routing.ReplicaState

/**
 * The granting instance's answer to a heartbeat.
 *
 * @property nonce the value to echo; 0 if the receiver does not grant for the replica or the sender left
 * @property sequence the sequence of the answered heartbeat
 * @property credit the room that the sender may use by itself, counted from the state in its heartbeat
 * @property limit the present concurrency limit of the replica
 */
data class GrantAnswer(
    val nonce: Long,
    val sequence: Long,
    val startId: String,
    val credit: Room,
    val limit: Int,
    val state: ReplicaState,
) {
    /** Whether the sender is registered here once it echoes [nonce]. */
    val isResponsible: Boolean get() = nonce != 0L
}
