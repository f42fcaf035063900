package io.sequoiawheel.core.admission.internal

import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.WorkspaceName

/** The queued requests of one workspace and its finish tag in virtual time. */
internal class Flow<T : Any>(
    val workspace: WorkspaceName,
) {
    val requests = ArrayDeque<QueuedRequest<T>>()
    var weight = 1
    var finishTag = 0.0
    var queuedTokens = 0L

    /**
     * Returns the start tag of the first request. Usage above the share delays it; an unused share does not accumulate.
     */
    fun startTag(virtualTime: Double): Double = maxOf(virtualTime, finishTag)
}
