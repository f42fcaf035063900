package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.WorkspaceName

/**
 * A request that waits for a replica.
 *
 * @property item what the caller of the queue wants back; compared by identity
 * @property weight share of the workspace relative to others
 * @property costTokens estimated tokens, prompt and output
 * @property deadlineMillis time by which the request must have left the queue, by the caller's clock; null if only the
 *   queue's own bound applies
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
