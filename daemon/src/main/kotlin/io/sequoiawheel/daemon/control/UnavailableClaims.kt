package io.sequoiawheel.daemon.control

import arrow.core.Either
import arrow.core.left
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.Claims

/** Refuses every non-idempotent call, truthfully, while no claim store is connected. */
internal object UnavailableClaims : Claims {
    override suspend fun claim(
        identity: Claims.Identity,
        requestDigest: String,
    ): Either<Failure, Claims.Decision> = Failure(ResultCode.CLAIM_STORE_UNAVAILABLE).left()

    override suspend fun complete(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer,
    ) = Unit

    override suspend fun release(granted: Claims.Decision.Granted) = Unit

    override suspend fun outcome(identity: Claims.Identity): Either<Failure, Claims.RecordedAnswer> =
        Failure(ResultCode.CLAIM_STORE_UNAVAILABLE).left()
}
