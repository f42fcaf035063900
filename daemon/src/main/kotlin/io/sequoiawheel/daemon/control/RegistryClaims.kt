package io.sequoiawheel.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.claim.ClaimAnswer
import io.sequoiawheel.core.claim.ClaimDecision
import io.sequoiawheel.core.claim.ClaimKey
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.claim.ClaimTicket
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.Claims
import kotlinx.serialization.SerializationException

/**
 * Claims stored in the object API. A claim that cannot be decoded is reported as an unavailable store, so that nothing
 * is dispatched.
 */
internal class RegistryClaims(
    private val registry: ClaimRegistry,
) : Claims {
    override suspend fun claim(
        identity: Claims.Identity,
        requestDigest: String,
        retentionMillis: Long,
        timeoutMillis: Long,
    ): Either<Failure, Claims.Decision> =
        try {
            decisionOf(registry.claim(identity.toKey(), requestDigest, retentionMillis, timeoutMillis))
        } catch (error: SerializationException) {
            Failure(ResultCode.CLAIM_STORE_UNAVAILABLE, "the claim of this key is unreadable").left()
        }

    override suspend fun complete(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer,
    ) {
        registry.complete(ticketOf(granted), ClaimAnswer(ResultCode.OK.number, answer.status, answer.body))
    }

    override suspend fun recordOutcomeUnknown(granted: Claims.Decision.Granted) {
        registry.complete(ticketOf(granted), ClaimAnswer(ResultCode.OUTCOME_UNKNOWN.number))
    }

    override suspend fun release(granted: Claims.Decision.Granted) {
        registry.release(ticketOf(granted))
    }

    override suspend fun outcome(identity: Claims.Identity): Either<Failure, Claims.RecordedAnswer> =
        try {
            registry.outcome(identity.toKey()).fold({ it.left() }, { recordedAnswerOf(it).right() })
        } catch (error: SerializationException) {
            Failure(ResultCode.CLAIM_STORE_UNAVAILABLE, "the claim of this key is unreadable").left()
        }

    private fun decisionOf(decision: ClaimDecision): Either<Failure, Claims.Decision> =
        when (decision) {
            is ClaimDecision.Granted -> Granted(decision.ticket).right()
            is ClaimDecision.Recorded -> Claims.Decision.Recorded(recordedAnswerOf(decision.answer)).right()
            is ClaimDecision.Rejected -> decision.failure.left()
        }

    private fun recordedAnswerOf(answer: ClaimAnswer) =
        Claims.RecordedAnswer(answer.status, if (answer.bodyOmitted) OMITTED_BODY else answer.body ?: "null")

    private fun ticketOf(granted: Claims.Decision.Granted): ClaimTicket = (granted as Granted).ticket

    private fun Claims.Identity.toKey() = ClaimKey(service, workspace, call, key)

    private class Granted(
        val ticket: ClaimTicket,
    ) : Claims.Decision.Granted

    private companion object {
        const val OMITTED_BODY = """{"omitted":"the answer was too large to record"}"""
    }
}
