package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.WorkspaceName

/**
 * The traffic of one workspace.
 *
 * @property share its share of all requests; shares need not add up to one
 * @property lengthFactor its output lengths relative to those of the kind
 * @property letterShare share of long letters among its requests, the rest being short summaries
 * @property prefixTokens length of the prompt prefix that all its letters share; 0 for none
 */
data class WorkspaceTraffic(
    val workspace: WorkspaceName,
    val share: Double,
    val lengthFactor: Double = 1.0,
    val letterShare: Double = 0.6,
    val prefixTokens: Int = 0,
)
