/*
 * The claim implementations that the at-most-once experiment compares. All of them run in the same serving pipeline.
 */
package io.sequoiawheel.experiment.claims

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.claim.ClaimAnswer
import io.sequoiawheel.core.claim.ClaimDecision
import io.sequoiawheel.core.claim.ClaimKey
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.claim.ClaimTicket
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.serving.Claims

/** Adapts the system's [ClaimRegistry] to [Claims]. */
internal class RegistryClaims(
    private val registry: ClaimRegistry,
) : Claims {
    private class Granted(
        val ticket: ClaimTicket,
    ) : Claims.Decision.Granted

    override suspend fun claim(
        identity: Claims.Identity,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): Either<Failure, Claims.Decision> =
        when (val decision = registry.claim(identity.toKey(), requestDigest, retentionMillis, timeoutMillis)) {
            is ClaimDecision.Granted -> Granted(decision.ticket).right()
            is ClaimDecision.Recorded -> Claims.Decision.Recorded(decision.answer.toRecorded()).right()
            is ClaimDecision.Rejected -> decision.failure.left()
        }

    override suspend fun complete(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer,
    ) {
        registry.complete((granted as Granted).ticket, ClaimAnswer(ResultCode.OK.number, answer.status, answer.body))
    }

    override suspend fun recordOutcomeUnknown(granted: Claims.Decision.Granted) {
        registry.complete((granted as Granted).ticket, ClaimAnswer(ResultCode.OUTCOME_UNKNOWN.number))
    }

    override suspend fun release(granted: Claims.Decision.Granted) {
        registry.release((granted as Granted).ticket)
    }

    override suspend fun outcome(identity: Claims.Identity): Either<Failure, Claims.RecordedAnswer> =
        registry.outcome(identity.toKey()).map { it.toRecorded() }

    private fun Claims.Identity.toKey() = ClaimKey(service, workspace, call, key)

    private fun ClaimAnswer.toRecorded() = Claims.RecordedAnswer(status, body.orEmpty())
}

/** Grants every claim, so that non-idempotent calls are treated as idempotent. */
internal class NoClaims : Claims {
    private object Granted : Claims.Decision.Granted

    override suspend fun claim(
        identity: Claims.Identity,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): Either<Failure, Claims.Decision> = Granted.right()

    override suspend fun complete(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer,
    ) = Unit

    override suspend fun recordOutcomeUnknown(granted: Claims.Decision.Granted) = Unit

    override suspend fun release(granted: Claims.Decision.Granted) = Unit

    override suspend fun outcome(identity: Claims.Identity): Either<Failure, Claims.RecordedAnswer> =
        Failure(ResultCode.OUTCOME_NOT_FOUND).left()
}

/** Treats a lost response to a claim write as a failed write: the claim is neither read back nor released later. */
internal class ClaimsWithoutReadBack(
    private val api: ObjectApi,
    private val instance: InstanceId,
    private val isLive: (InstanceId) -> Boolean,
) : Claims {
    private class Granted(
        val key: ClaimKey,
        val version: Long,
    ) : Claims.Decision.Granted

    override suspend fun claim(
        identity: Claims.Identity,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): Either<Failure, Claims.Decision> {
        val key = ClaimKey(identity.service, identity.workspace, identity.call, identity.key)
        return api.put(key.objectKey, instance.value, 0).fold(
            { if (it.code == ResultCode.DOCUMENT_CONFLICT) decideExisting(key) else unavailable() },
            { Granted(key, it).right() },
        )
    }

    private suspend fun decideExisting(key: ClaimKey): Either<Failure, Claims.Decision> =
        api.get(key.objectKey).fold(
            { unavailable() },
            { found ->
                val answer = found.value.substringAfter(ANSWER_SEPARATOR, "")
                when {
                    answer.isNotEmpty() -> Claims.Decision.Recorded(Claims.RecordedAnswer(200, answer)).right()
                    isLive(InstanceId(found.value)) -> Failure(ResultCode.IN_PROGRESS, retryAfterMillis = 2_000).left()
                    else -> Failure(ResultCode.OUTCOME_UNKNOWN).left()
                }
            },
        )

    override suspend fun complete(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer,
    ) {
        granted as Granted
        api.put(granted.key.objectKey, instance.value + ANSWER_SEPARATOR + answer.body, granted.version)
    }

    override suspend fun recordOutcomeUnknown(granted: Claims.Decision.Granted) = Unit

    override suspend fun release(granted: Claims.Decision.Granted) {
        granted as Granted
        api.delete(granted.key.objectKey, granted.version)
    }

    override suspend fun outcome(identity: Claims.Identity): Either<Failure, Claims.RecordedAnswer> =
        Failure(ResultCode.OUTCOME_NOT_FOUND).left()

    private fun unavailable() = Failure(ResultCode.CLAIM_STORE_UNAVAILABLE, retryAfterMillis = 2_000).left()

    private companion object {
        const val ANSWER_SEPARATOR = " answered "
    }
}
