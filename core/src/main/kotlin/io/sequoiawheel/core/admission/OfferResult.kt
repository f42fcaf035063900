package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.Failure

/** The result of [FairQueue.offer]. */
sealed interface OfferResult<out T : Any> {
    /**
     * The request is queued.
     *
     * @property displaced the newest request of the workspace with the longest queue, removed because the queue was
     *   full
     * @property failure the failure with which [displaced] is rejected
     */
    data class Queued<T : Any>(
        val displaced: QueuedRequest<T>? = null,
        val failure: Failure? = null,
    ) : OfferResult<T>

    /** The request is rejected immediately: `QUEUE_FULL`, `QUEUE_TIMEOUT` or `DEADLINE_BEFORE_DISPATCH`. */
    data class Rejected(
        val failure: Failure,
    ) : OfferResult<Nothing>
}
