package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.serving.Demand

/**
 * The room that one request needs.
 *
 * @property avoided replicas that refused or failed this request
 * @property predictedTokens predicted output in tokens, 0 for plain calls
 */
internal class RoomNeed(
    val demand: Demand,
    val avoided: Set<InstanceId>,
    val predictedTokens: Int,
    val weight: Int,
) {
    /** Prompt and predicted output. */
    val tokens: Long get() = demand.promptTokens.toLong() + predictedTokens
}
