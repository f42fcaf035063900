package io.sequoiawheel.core.platform

import arrow.core.Either
import io.sequoiawheel.core.model.Failure

/** The rate-limited store of model weights. */
fun interface WeightStore {
    /** Asks for permission to load [weight]; `WEIGHT_RATE_EXCEEDED` carries when to come back. */
    suspend fun requestLoad(weight: String): Either<Failure, Unit>
}
