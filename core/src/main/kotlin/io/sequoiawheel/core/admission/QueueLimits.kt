package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ServiceDocument

/**
 * Limits of a [FairQueue].
 *
 * @property maximumRequests queued requests in total
 * @property maximumRequestsPerWorkspace queued requests of one workspace
 * @property maximumWaitMillis longest time in the queue
 * @property maximumWorkspaces idle workspaces whose charge is kept
 */
data class QueueLimits(
    val maximumRequests: Int = 1_000,
    val maximumRequestsPerWorkspace: Int = 200,
    val maximumWaitMillis: Long = 30_000,
    val maximumWorkspaces: Int = 1_024,
) {
    companion object {
        /** Returns the limits that a service document sets. */
        fun of(policy: ServiceDocument.QueuePolicy) =
            QueueLimits(policy.maximumRequests, policy.maximumRequestsPerWorkspace, policy.maximumWaitMillis)
    }
}
