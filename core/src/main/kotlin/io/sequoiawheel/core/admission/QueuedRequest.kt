package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.WorkspaceName

/**
 * A request that waits for a replica. Requests are compared by identity.
 *
 * @property item the payload that the queue returns to its caller
 * @property weight share of the workspace relative to others
 * @property costTokens estimated tokens, prompt and output
 * @property deadlineMillis time by which the request must leave the queue, on the caller's clock; null if only
 *   [QueueLimits.maximumWaitMillis] applies
 */
class QueuedRequest<T : Any>(
    val item: T,
    val workspace: WorkspaceName,
    val weight: Int,
    val costTokens: Long,
    val deadlineMillis: Long? = null,
) {
    internal var expiresAtMillis = 0L
    internal var arrival = 0L
}
