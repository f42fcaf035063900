package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * The requirements of one request for a replica.
 *
 * @property zone the zone of the entry instance; replicas in it are preferred
 * @property tokens prompt tokens plus predicted output tokens; zero for plain calls
 * @property promptTokens the part of [tokens] that a prefix cache can save
 * @property excluded replicas that already refused or failed this request
 */
data class ReplicaRequirements(
    val zone: ZoneName,
    val tokens: Long = 0,
    val promptTokens: Long = 0,
    val excluded: Set<InstanceId> = emptySet(),
)
