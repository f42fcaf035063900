package io.sequoiawheel.core.platform

import arrow.core.Either
import io.sequoiawheel.core.model.Failure

/** The rate-limited store of model weights. */
fun interface WeightStore {
    /** Requests permission to load [weight]; `WEIGHT_RATE_EXCEEDED` includes the time after which to retry. */
    suspend fun requestLoad(weight: String): Either<Failure, Unit>
}
