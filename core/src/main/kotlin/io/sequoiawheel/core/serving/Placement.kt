package io.sequoiawheel.core.serving

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId

/** Chooses replicas and reserves capacity for requests. Implementations are thread-safe. */
interface Placement {
    /**
     * Waits until a replica has capacity for [demand] and reserves it. Replicas in [avoided] are used only if no other
     * is eligible. Fails with `QUEUE_FULL`, `QUEUE_TIMEOUT`, `DEADLINE_BEFORE_DISPATCH`, `NO_REPLICA`,
     * `WORKSPACE_LIMIT` or `GENERATION_TOO_LARGE`, in which case nothing is reserved.
     */
    suspend fun place(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): Either<Failure, PlacedRequest>
}
