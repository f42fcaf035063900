package io.sequoiawheel.core.serving

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.commons.codec.digest.DigestUtils

/**
 * Runs calls of plain services. Idempotent calls are retried and hedged within the retry budget; other calls are
 * dispatched under a claim, and dispatched again only after the backend server proved that they did not run. Every
 * function returns an outcome and throws only if the calling coroutine is cancelled. Thread-safe.
 *
 * @param scope the scope in which claims are settled after the answer
 * @param dispatchIds creates ids that are unique in the deployment, so that an answer cannot be mistaken for that of
 *   another request to which a caller gave the same id
 */
class CallRunner(
    private val services: PlainGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val claims: Claims,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val dispatchIds: (RequestId) -> RequestId,
) {
    private val settlementJob = SupervisorJob(scope.coroutineContext[Job])

    /** Runs [call] to its end. */
    suspend fun run(call: CallDemand): CallOutcome {
        retries.onFirstAttempt(call.demand.document)
        val attempts = CallAttempts(services, placement, retries, clock, call, dispatchIds)
        return if (call.call.idempotent) attempts.runIdempotent() else runClaimed(call, attempts)
    }

    /** Returns the recorded outcome of a non-idempotent call. */
    suspend fun outcome(identity: Claims.Identity): CallOutcome =
        claims.outcome(identity).fold({ CallOutcome(it) }, { CallOutcome(null, it, recorded = true) })

    /** Suspends until the claim of every ended call is settled or left to background attempts. */
    suspend fun awaitSettled() = settlementJob.children.toList().joinAll()

    // A claimed call runs to its end even if its caller disconnects, so that the caller can still query the outcome.
    private suspend fun runClaimed(
        call: CallDemand,
        attempts: CallAttempts,
    ): CallOutcome =
        withContext(NonCancellable) {
            when (val decision = claim(call).getOrElse { return@withContext CallOutcome(it) }) {
                is Claims.Decision.Recorded -> CallOutcome(null, decision.answer, recorded = true)
                is Claims.Decision.Granted -> runGranted(decision, attempts)
            }
        }

    private suspend fun claim(call: CallDemand): Either<Failure, Claims.Decision> {
        val identity = identityOf(call) ?: return Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED).left()
        val remaining = call.demand.deadlineMillis - clock.nowMillis()
        if (remaining <= 0) return Failure(ResultCode.DEADLINE_BEFORE_DISPATCH).left()
        return claims.claim(
            identity = identity,
            requestDigest = DigestUtils.sha256Hex(call.body),
            retentionMillis = call.demand.document.claimRetentionMillis,
            timeoutMillis = minOf(remaining, CLAIM_TIMEOUT_MILLIS),
        )
    }

    private suspend fun runGranted(
        granted: Claims.Decision.Granted,
        attempts: CallAttempts,
    ): CallOutcome {
        val outcome = attempts.runOnce()
        // The answer does not wait for the settlement; until then a request with the same key finds it in progress.
        scope.launch(settlementJob) { settle(granted, outcome.answer, attempts.provenNotRun) }
        return outcome
    }

    private suspend fun settle(
        granted: Claims.Decision.Granted,
        answer: Claims.RecordedAnswer?,
        provenNotRun: Boolean,
    ) {
        when {
            answer != null -> claims.complete(granted, answer)
            provenNotRun -> claims.release(granted)
            else -> claims.recordOutcomeUnknown(granted)
        }
    }

    private fun identityOf(call: CallDemand): Claims.Identity? {
        val key = call.idempotencyKey ?: return null
        return Claims.Identity(call.demand.document.service, call.demand.workspace, call.call.name, key)
    }

    private companion object {
        // A claim is one write of a few milliseconds; three attempts with read-back fit well within this timeout.
        const val CLAIM_TIMEOUT_MILLIS = 5_000L
    }
}
