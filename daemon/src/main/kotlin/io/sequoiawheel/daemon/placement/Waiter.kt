package io.sequoiawheel.daemon.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.serving.PlacedRequest
import kotlinx.coroutines.CompletableDeferred

/** A request that waits for capacity. Exactly one of [grant], [reject] and [cancel] takes effect. Thread-safe. */
internal class Waiter(
    val required: CapacityRequirements,
) {
    private val result = CompletableDeferred<Either<Failure, CapacitySource.ReservedCapacity>>()

    /** The entry in the queue, needed to remove it. */
    @Volatile
    var queueEntry: QueuedRequest<Waiter>? = null

    suspend fun await(): Either<Failure, CapacitySource.ReservedCapacity> = result.await()

    fun reject(failure: Failure) {
        result.complete(failure.left())
    }

    /** Completes the wait with [capacity], or releases it if the wait was cancelled. */
    fun grant(capacity: CapacitySource.ReservedCapacity) {
        if (!result.complete(capacity.right())) capacity.finish(PlacedRequest.Verdict.CANCELLED, 0)
    }

    /** Cancels the wait because the caller disconnected; releases capacity that was granted meanwhile. */
    suspend fun cancel() {
        if (!result.completeExceptionally(WaitCancelledException())) {
            result.await().onRight { it.finish(PlacedRequest.Verdict.CANCELLED, 0) }
        }
    }

    private class WaitCancelledException : Exception("the caller disconnected while its request was queued")
}
