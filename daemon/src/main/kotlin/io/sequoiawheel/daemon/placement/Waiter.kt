package io.sequoiawheel.daemon.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.admission.QueuedRequest
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.serving.PlacedRequest
import kotlinx.coroutines.CompletableDeferred

/** One request that waits for room. Exactly one of room, refusal or withdrawal takes effect. Thread-safe. */
internal class Waiter(
    val need: RoomNeed,
) {
    private val result = CompletableDeferred<Either<Failure, RoomSource.Room>>()

    /** Its entry in the queue, for removal. */
    @Volatile
    var queued: QueuedRequest<Waiter>? = null

    suspend fun await(): Either<Failure, RoomSource.Room> = result.await()

    fun refuse(failure: Failure) {
        result.complete(failure.left())
    }

    /** Hands [room] over, or gives it back if the caller has left. */
    fun grant(room: RoomSource.Room) {
        if (!result.complete(room.right())) room.finish(PlacedRequest.Verdict.CANCELLED, 0)
    }

    /** Ends the waiting because the caller left; room that was granted meanwhile is given back. */
    suspend fun withdraw() {
        if (!result.completeExceptionally(WithdrawnException())) {
            result.await().onRight { it.finish(PlacedRequest.Verdict.CANCELLED, 0) }
        }
    }

    private class WithdrawnException : Exception("the caller left the queue")
}
