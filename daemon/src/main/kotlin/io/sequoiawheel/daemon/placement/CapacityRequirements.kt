package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.serving.Demand

/**
 * The capacity that one request needs at a replica.
 *
 * @property avoided replicas that refused this request or failed while serving it
 * @property predictedTokens predicted output length in tokens, 0 for plain calls
 * @property weight share of the workspace relative to others
 */
internal class CapacityRequirements(
    val demand: Demand,
    val avoided: Set<InstanceId>,
    val predictedTokens: Int,
    val weight: Int,
) {
    /** The tokens of the prompt and of the predicted output. */
    val tokens: Long get() = demand.promptTokens.toLong() + predictedTokens
}
