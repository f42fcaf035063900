package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * The view of one replica that an entry instance bases its choice on.
 *
 * @property eligible false if the replica is leaving, unreachable, ejected, in a zone that is out of service, or lacks
 *   the model
 * @property freeTokens predicted free tokens after the pending work of the entry instance; zero for plain services
 * @property capacityTokens token capacity of the replica; zero for plain services
 * @property freeRequests number of further requests allowed by the cold-start ramp or the concurrency limit
 */
data class ReplicaView(
    val replica: InstanceId,
    val zone: ZoneName,
    val eligible: Boolean = true,
    val freeTokens: Long = 0,
    val capacityTokens: Long = 0,
    val freeRequests: Int = 0,
)
