package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId

/**
 * The state of one replica as its granting instance sends it to other entry instances.
 *
 * @property startId the identity of the replica process; empty if it has never reported
 * @property freeTokens predicted free tokens after all reservations known to the granting instance; may be negative
 * @property freeRequests number of further requests allowed by the cold-start ramp or the concurrency limit
 * @property stepMillis recent mean duration of one decoding step
 * @property capacityTokens token capacity of the replica's memory; zero for plain services and while unknown
 * @property ageMillis age of the load report that these values are based on
 */
data class ReplicaState(
    val replica: InstanceId,
    val startId: String = "",
    val cold: Boolean = false,
    val leaving: Boolean = false,
    val reachable: Boolean = true,
    val freeTokens: Long = 0,
    val freeRequests: Int = 0,
    val stepMillis: Double = 0.0,
    val ageMillis: Long = 0,
    val models: List<String> = emptyList(),
    val preemptions: Long = 0,
    val capacityTokens: Long = 0,
)
