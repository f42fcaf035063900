package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * One replica as an entry instance sees it when it chooses.
 *
 * @property eligible false if the replica is leaving, unreachable, ejected, out with its zone, or lacks the model
 * @property freeTokens predicted free tokens after the instance's own pending work; plain services leave it at zero
 * @property capacityTokens tokens that the replica can hold; zero for plain services
 * @property freeRequests requests that may still be added under the ramp or the concurrency limit
 */
data class ReplicaView(
    val replica: InstanceId,
    val zone: ZoneName,
    val eligible: Boolean = true,
    val freeTokens: Long = 0,
    val capacityTokens: Long = 0,
    val freeRequests: Int = 0,
)
