package io.sequoiawheel.experiment.claims

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import kotlinx.coroutines.delay

/** Retries a call at the next entry instance until it gets a final response or reaches the attempt limit. */
internal class Caller(
    private val simulation: AtMostOnceSimulation,
    private val clock: Clock,
) {
    /** The result of a caller's last attempt. */
    data class CallResult(
        val code: ResultCode?,
        val elapsedMillis: Long,
        val notRunAnswers: Int,
    )

    /** Sends the call of [plan], starting at [firstSlot]; [name] makes the request ids unique. */
    suspend fun send(
        plan: CallPlan,
        firstSlot: Int,
        name: String,
    ): CallResult {
        val startMillis = clock.nowMillis()
        var notRunCount = 0
        var unknownCount = 0
        var code: ResultCode? = null
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            code = attempt(plan, (firstSlot + attempt) % CallPlan.SLOTS, RequestId("${plan.key}-$name-$attempt"))
            if (code?.work == WorkState.NOT_RUN) notRunCount++
            if (code == ResultCode.OUTCOME_UNKNOWN) unknownCount++
            if (code == ResultCode.OK || code == ResultCode.OK_RECORDED || unknownCount == MAXIMUM_UNKNOWN_OUTCOMES) {
                return CallResult(code, clock.nowMillis() - startMillis, notRunCount)
            }
            delay(if (code == null) RECONNECT_DELAY_MILLIS else RETRY_DELAY_MILLIS)
        }
        return CallResult(code, clock.nowMillis() - startMillis, notRunCount)
    }

    private suspend fun attempt(
        plan: CallPlan,
        slot: Int,
        request: RequestId,
    ): ResultCode? {
        simulation.history.record(HistoryEvent.CallStarted(clock.nowMillis(), request, plan.key))
        val entry = simulation.entry(slot)
        if (entry != null) simulation.history.record(HistoryEvent.CallAccepted(clock.nowMillis(), request, entry.id))
        val outcome = entry?.run(simulation.demand(request, plan))
        val now = clock.nowMillis()
        simulation.history.record(
            if (outcome == null) {
                HistoryEvent.CallLost(now, request)
            } else {
                HistoryEvent.CallEnded(now, request, outcome.code, outcome.answer?.body)
            },
        )
        return outcome?.code
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 20

        // Retry after OUTCOME_UNKNOWN, because the claimant may still record the outcome.
        const val MAXIMUM_UNKNOWN_OUTCOMES = 3
        const val RECONNECT_DELAY_MILLIS = 500L
        const val RETRY_DELAY_MILLIS = 2_000L
    }
}
