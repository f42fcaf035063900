package io.sequoiawheel.core.admission.internal

import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.WorkspaceName

/** The queued requests of one workspace and its use so far in virtual time. */
internal class Flow<T : Any>(
    val workspace: WorkspaceName,
) {
    val requests = ArrayDeque<QueuedRequest<T>>()
    var weight = 1
    var finish = 0.0
    var queuedTokens = 0L

    /** Start tag of the first request: use beyond the share postpones it, unused share does not accumulate. */
    fun start(virtualTime: Double): Double = maxOf(virtualTime, finish)
}
