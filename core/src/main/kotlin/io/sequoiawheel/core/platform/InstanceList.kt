package io.sequoiawheel.core.platform

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import kotlinx.collections.immutable.ImmutableList

/** The platform's list of live and leaving instances, which lags behind the actual state. */
fun interface InstanceList {
    /** Returns the list, or `PLATFORM_UNAVAILABLE`. */
    suspend fun read(): Either<Failure, ImmutableList<Instance>>
}
