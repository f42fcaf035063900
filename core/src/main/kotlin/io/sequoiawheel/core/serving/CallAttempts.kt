package io.sequoiawheel.core.serving

import arrow.core.getOrElse
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** The attempts of one call. Hedged attempts run concurrently and share this object. */
internal class CallAttempts(
    private val services: PlainGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val clock: Clock,
    private val call: CallDemand,
    private val dispatchIds: (RequestId) -> RequestId,
) {
    private val demand = call.demand
    private val avoidedReplicas = ConcurrentHashMap.newKeySet<InstanceId>()
    private val attempts = AtomicInteger()

    /** The number of dispatched attempts that are not proven not to have run. */
    private val possiblyRunAttempts = AtomicInteger()

    @Volatile
    private var queueMillis = 0L

    /** Whether it is proven that no attempt has run. */
    val provenNotRun: Boolean get() = possiblyRunAttempts.get() == 0

    /** Runs an idempotent call with retries and, if its service document sets a delay for it, a hedged attempt. */
    suspend fun runIdempotent(): CallOutcome = withinDeadline { retryWhile { isRetriable } }

    /** Runs a call that must run at most once; it is retried only if it is proven that no attempt has run. */
    suspend fun runOnce(): CallOutcome = withinDeadline { retryWhile { isRetriable && provenNotRun } }

    private suspend fun withinDeadline(block: suspend () -> CallOutcome): CallOutcome {
        val remaining = demand.deadlineMillis - clock.nowMillis()
        return withTimeoutOrNull(remaining) { block() } ?: outcome(Failure(deadlineCode()))
    }

    private fun deadlineCode() =
        if (provenNotRun) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.DEADLINE_AFTER_DISPATCH

    private suspend fun retryWhile(canRepeat: Attempt.() -> Boolean): CallOutcome {
        while (true) {
            val attempt = if (call.call.idempotent) hedgedAttempt() else attempt()
            val failure = attempt.failure ?: return attempt.toOutcome()
            if (!attempt.canRepeat() || !mayRetry()) return outcome(reportableFailure(failure), attempt.replica)
            delay(retries.backoffMillis(attempts.get() + 1))
        }
    }

    private fun mayRetry() =
        attempts.get() < demand.document.retryBudget.maximumAttempts && retries.tryAcquire(demand.document)

    private fun reportableFailure(failure: Failure): Failure =
        if (provenNotRun || failure.code.work != WorkState.NOT_RUN) {
            failure
        } else {
            Failure(unknownCode(), retryAfterMillis = failure.retryAfterMillis)
        }

    private fun unknownCode() = if (call.call.idempotent) ResultCode.BACKEND_ERROR else ResultCode.OUTCOME_UNKNOWN

    private suspend fun hedgedAttempt(): Attempt {
        val hedgeAfter = call.call.hedgeAfterMillis ?: return attempt()
        return coroutineScope {
            val first = async { attempt() }
            val beforeHedge = withTimeoutOrNull(hedgeAfter) { first.await() }
            val winner = beforeHedge ?: awaitWithHedge(first)
            coroutineContext.cancelChildren()
            winner
        }
    }

    private suspend fun CoroutineScope.awaitWithHedge(first: Deferred<Attempt>): Attempt {
        if (!retries.tryAcquire(demand.document)) return first.await()
        val second = async { attempt() }
        val (earlier, other) =
            select {
                first.onAwait { it to second }
                second.onAwait { it to first }
            }
        return if (earlier.failure == null) earlier else other.await()
    }

    private suspend fun attempt(): Attempt {
        attempts.incrementAndGet()
        val placedRequest =
            placement
                .place(
                    demand,
                    avoidedReplicas,
                ).getOrElse { return Attempt(it, isRetriable = false) }
        queueMillis = maxOf(queueMillis, placedRequest.queueMillis)
        avoidedReplicas += placedRequest.replica.id
        possiblyRunAttempts.incrementAndGet()
        var verdict = PlacedRequest.Verdict.CANCELLED
        try {
            val attempt = dispatch(placedRequest)
            verdict = attempt.verdict
            return attempt
        } finally {
            placedRequest.finish(verdict, 0)
        }
    }

    private suspend fun dispatch(placedRequest: PlacedRequest): Attempt {
        val started = clock.nowMillis()
        return try {
            val request = PlainRequest(dispatchIds(demand.requestId), call.call.name, call.body)
            val answer = services.call(placedRequest.replica, request, demand.deadlineMillis - started)
            placedRequest.onFirstToken(clock.nowMillis() - started)
            toAttempt(answer, placedRequest.replica.id)
        } catch (error: DispatchException) {
            toFailedAttempt(error, placedRequest.replica.id)
        }
    }

    private fun toAttempt(
        answer: PlainAnswer,
        replica: InstanceId,
    ): Attempt {
        val recorded = Claims.RecordedAnswer(answer.status, answer.body)
        val failed = answer.status >= FIRST_SERVER_ERROR && call.call.idempotent
        val failure = if (failed) Failure(ResultCode.BACKEND_ERROR) else null
        return Attempt(failure, failed, replica, recorded.takeUnless { failed }, verdictOf(failed))
    }

    private fun verdictOf(failed: Boolean) =
        if (failed) PlacedRequest.Verdict.FAILED else PlacedRequest.Verdict.COMPLETED

    private fun toFailedAttempt(
        error: DispatchException,
        replica: InstanceId,
    ): Attempt {
        if (error.outcome == DispatchException.Outcome.NOT_RUN) {
            possiblyRunAttempts.decrementAndGet()
            val refusal = Failure(error.code ?: ResultCode.BACKEND_REFUSED, retryAfterMillis = error.retryAfterMillis)
            return Attempt(refusal, true, replica, verdict = PlacedRequest.Verdict.REFUSED)
        }
        val code = error.code ?: unknownCode()
        return Attempt(Failure(code), true, replica, verdict = PlacedRequest.Verdict.FAILED)
    }

    private fun Attempt.toOutcome() = outcome(null, replica).copy(answer = answer)

    private fun outcome(
        failure: Failure?,
        replica: InstanceId? = null,
    ) = CallOutcome(failure, null, false, replica, queueMillis, attempts.get())

    private class Attempt(
        val failure: Failure?,
        val isRetriable: Boolean,
        val replica: InstanceId? = null,
        val answer: Claims.RecordedAnswer? = null,
        val verdict: PlacedRequest.Verdict = PlacedRequest.Verdict.CANCELLED,
    )

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
