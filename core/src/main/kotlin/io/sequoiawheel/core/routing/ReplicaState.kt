package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId

/**
 * What a granting instance knows of one replica, as it travels between entry instances.
 *
 * @property startId the process identity of the replica; empty if it has never reported
 * @property freeTokens predicted free tokens after every reservation known at the granting instance; may be negative
 * @property freeRequests requests that may still be added under the ramp or the concurrency limit
 * @property stepMillis recent mean duration of one decoding step
 * @property capacityTokens tokens that the replica's memory can hold; zero for plain services and while unknown
 * @property ageMillis age of the load report behind these figures
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
