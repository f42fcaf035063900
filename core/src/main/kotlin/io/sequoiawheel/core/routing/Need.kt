package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName

/**
 * What one request needs of a replica.
 *
 * @property zone the zone of the entry instance, which is preferred
 * @property tokens prompt plus predicted output; zero for plain calls
 * @property promptTokens the part of [tokens] that a prefix cache can save
 * @property excluded replicas that already refused or failed this request
 */
data class Need(
    val zone: ZoneName,
    val tokens: Long = 0,
    val promptTokens: Long = 0,
    val excluded: Set<InstanceId> = emptySet(),
)
