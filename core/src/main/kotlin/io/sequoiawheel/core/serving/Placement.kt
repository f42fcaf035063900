package io.sequoiawheel.core.serving

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId

/** Chooses replicas and accounts for the room that requests take. Implementations are thread-safe. */
interface Placement {
    /**
     * Waits until a replica has room for [demand] and reserves it; [avoided] replicas are used only if no other is
     * eligible. Fails with `QUEUE_FULL`,
     * `QUEUE_TIMEOUT`, `DEADLINE_BEFORE_DISPATCH`, `NO_REPLICA`, `WORKSPACE_LIMIT` or `GENERATION_TOO_LARGE`; nothing
     * is reserved then.
     */
    suspend fun place(
        demand: Demand,
        avoided: Set<InstanceId>,
    ): Either<Failure, Placed>
}
