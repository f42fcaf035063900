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

/** The attempts of one call. Hedged attempts run at the same time and share this object. */
internal class CallAttempts(
    private val services: PlainGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val clock: Clock,
    private val call: CallDemand,
    private val dispatchIds: (RequestId) -> RequestId,
) {
    private val demand = call.demand
    private val avoided = ConcurrentHashMap.newKeySet<InstanceId>()
    private val attempts = AtomicInteger()

    /** Attempts that may have run: dispatched, and not proven otherwise. */
    private val unproven = AtomicInteger()

    @Volatile
    private var queueMillis = 0L

    /** Whether no attempt can have run. */
    val provenNotRun: Boolean get() = unproven.get() == 0

    /** Runs an idempotent call with retries and, if its document says so, a hedge. */
    suspend fun runIdempotent(): CallOutcome = withinDeadline { retryWhile { isRetriable } }

    /** Runs a call that may run once; only attempts that are proven not to have run are repeated. */
    suspend fun runOnce(): CallOutcome = withinDeadline { retryWhile { isRetriable && provenNotRun } }

    private suspend fun withinDeadline(block: suspend () -> CallOutcome): CallOutcome {
        val remaining = demand.deadlineMillis - clock.nowMillis()
        return withTimeoutOrNull(remaining) { block() } ?: outcome(Failure(deadlineCode()))
    }

    private fun deadlineCode() =
        if (provenNotRun) ResultCode.DEADLINE_BEFORE_DISPATCH else ResultCode.DEADLINE_AFTER_DISPATCH

    private suspend fun retryWhile(mayRepeat: Attempt.() -> Boolean): CallOutcome {
        while (true) {
            val attempt = if (call.call.idempotent) hedgedAttempt() else attempt()
            val failure = attempt.failure ?: return attempt.toOutcome()
            if (!attempt.mayRepeat() || !mayRetry()) return outcome(truthful(failure), attempt.replica)
            delay(retries.backoffMillis(attempts.get() + 1))
        }
    }

    private fun mayRetry() =
        attempts.get() < demand.document.retryBudget.maximumAttempts && retries.tryAcquire(demand.document)

    private fun truthful(failure: Failure): Failure =
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
            val early = withTimeoutOrNull(hedgeAfter) { first.await() }
            val winner = early ?: hedge(first)
            coroutineContext.cancelChildren()
            winner
        }
    }

    private suspend fun CoroutineScope.hedge(first: Deferred<Attempt>): Attempt {
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
        val room = placement.place(demand, avoided).getOrElse { return Attempt(it, isRetriable = false) }
        queueMillis = maxOf(queueMillis, room.queueMillis)
        avoided += room.replica.id
        unproven.incrementAndGet()
        var verdict = Placed.Verdict.CANCELLED
        try {
            val attempt = dispatch(room)
            verdict = attempt.verdict
            return attempt
        } finally {
            room.finish(verdict, 0)
        }
    }

    private suspend fun dispatch(room: Placed): Attempt {
        val started = clock.nowMillis()
        return try {
            val request = PlainRequest(dispatchIds(demand.requestId), call.call.name, call.body)
            val answer = services.call(room.replica, request, demand.deadlineMillis - started)
            room.onFirstToken(clock.nowMillis() - started)
            answered(answer, room.replica.id)
        } catch (error: DispatchException) {
            failed(error, room.replica.id)
        }
    }

    private fun answered(
        answer: PlainAnswer,
        replica: InstanceId,
    ): Attempt {
        val recorded = Claims.RecordedAnswer(answer.status, answer.body)
        val failed = answer.status >= FIRST_SERVER_ERROR && call.call.idempotent
        val failure = if (failed) Failure(ResultCode.BACKEND_ERROR) else null
        return Attempt(failure, failed, replica, recorded.takeUnless { failed }, verdictOf(failed))
    }

    private fun verdictOf(failed: Boolean) = if (failed) Placed.Verdict.FAILED else Placed.Verdict.COMPLETED

    private fun failed(
        error: DispatchException,
        replica: InstanceId,
    ): Attempt {
        if (error.outcome == DispatchException.Outcome.NOT_RUN) {
            unproven.decrementAndGet()
            val refusal = Failure(error.code ?: ResultCode.BACKEND_REFUSED, retryAfterMillis = error.retryAfterMillis)
            return Attempt(refusal, true, replica, verdict = Placed.Verdict.REFUSED)
        }
        val code = error.code ?: unknownCode()
        return Attempt(Failure(code), true, replica, verdict = Placed.Verdict.FAILED)
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
        val verdict: Placed.Verdict = Placed.Verdict.CANCELLED,
    )

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
