package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.Failure

/** The answer of [FairQueue.offer]. */
sealed interface Offer<out T : Any> {
    /**
     * The request is queued.
     *
     * @property displaced the newest request of the workspace with the longest queue, which had to go to make room
     * @property failure the rejection that [displaced] gets
     */
    data class Queued<T : Any>(
        val displaced: QueuedRequest<T>? = null,
        val failure: Failure? = null,
    ) : Offer<T>

    /** The request is rejected at once: `QUEUE_FULL`, `QUEUE_TIMEOUT` or `DEADLINE_BEFORE_DISPATCH`. */
    data class Rejected(
        val failure: Failure,
    ) : Offer<Nothing>
}
