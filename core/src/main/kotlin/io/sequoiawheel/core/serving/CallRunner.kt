package io.sequoiawheel.core.serving

import arrow.core.getOrElse
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import org.apache.commons.codec.digest.DigestUtils

/**
 * Runs calls of plain services. Idempotent calls are retried and hedged within the retry budget; other calls are
 * dispatched under a claim, and dispatched again only after the backend server proved that they did not run. Every
 * function returns an outcome; only the cancellation of the calling coroutine is thrown. Thread-safe.
 *
 * @param dispatchIds makes identities that are unique in the deployment, so that an answer cannot be taken for that of
 *   another request which its caller gave the same id
 */
class CallRunner(
    private val services: PlainGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val claims: Claims,
    private val clock: Clock,
    private val dispatchIds: (RequestId) -> RequestId,
) {
    /** Runs [call] to its end. */
    suspend fun run(call: CallDemand): CallOutcome {
        retries.onFirstAttempt(call.demand.document)
        val attempts = CallAttempts(services, placement, retries, clock, call, dispatchIds)
        return if (call.call.idempotent) attempts.runIdempotent() else runClaimed(call, attempts)
    }

    /** Returns the recorded outcome of a non-idempotent call. */
    suspend fun outcome(identity: Claims.Identity): CallOutcome =
        claims.outcome(identity).fold({ CallOutcome(it) }, { CallOutcome(null, it, recorded = true) })

    private suspend fun runClaimed(
        call: CallDemand,
        attempts: CallAttempts,
    ): CallOutcome {
        val identity = identityOf(call) ?: return CallOutcome(Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED))
        val decision =
            claims.claim(identity, DigestUtils.sha256Hex(call.body)).getOrElse { return CallOutcome(it) }
        return when (decision) {
            is Claims.Decision.Recorded -> CallOutcome(null, decision.answer, recorded = true)
            is Claims.Decision.Granted -> runGranted(decision, attempts)
        }
    }

    private suspend fun runGranted(
        granted: Claims.Decision.Granted,
        attempts: CallAttempts,
    ): CallOutcome {
        val outcome = attempts.runOnce()
        val answer = outcome.answer
        if (answer != null) {
            claims.complete(granted, answer)
        } else if (attempts.provenNotRun) {
            claims.release(granted)
        }
        return outcome
    }

    private fun identityOf(call: CallDemand): Claims.Identity? {
        val key = call.idempotencyKey ?: return null
        return Claims.Identity(call.demand.document.service, call.demand.workspace, call.call.name, key)
    }
}
