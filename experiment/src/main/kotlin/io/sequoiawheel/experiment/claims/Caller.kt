package io.sequoiawheel.experiment.claims

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.WorkState
import kotlinx.coroutines.delay

/** Sends one call until it has a final answer or has tried often enough, each time to the next entry instance. */
internal class Caller(
    private val world: AtMostOnceWorld,
    private val clock: Clock,
) {
    /** How a sender's last attempt ended. */
    data class End(
        val code: ResultCode?,
        val elapsedMillis: Long,
        val notRunAnswers: Int,
    )

    /** Sends the call of [plan], beginning at [firstSlot]; [name] makes the request ids unique. */
    suspend fun send(
        plan: CallPlan,
        firstSlot: Int,
        name: String,
    ): End {
        val began = clock.nowMillis()
        var notRun = 0
        var unknown = 0
        var code: ResultCode? = null
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            code = attempt(plan, (firstSlot + attempt) % CallPlan.SLOTS, RequestId("${plan.key}-$name-$attempt"))
            if (code?.work == WorkState.NOT_RUN) notRun++
            if (code == ResultCode.OUTCOME_UNKNOWN) unknown++
            if (code == ResultCode.OK || code == ResultCode.OK_RECORDED || unknown == MAXIMUM_UNKNOWN) {
                return End(code, clock.nowMillis() - began, notRun)
            }
            delay(if (code == null) RECONNECT_MILLIS else RETRY_MILLIS)
        }
        return End(code, clock.nowMillis() - began, notRun)
    }

    private suspend fun attempt(
        plan: CallPlan,
        slot: Int,
        request: RequestId,
    ): ResultCode? {
        world.history.record(HistoryEvent.CallStarted(clock.nowMillis(), request, plan.key))
        val entry = world.entry(slot)
        if (entry != null) world.history.record(HistoryEvent.CallAccepted(clock.nowMillis(), request, entry.id))
        val outcome = entry?.run(world.demand(request, plan))
        val now = clock.nowMillis()
        world.history.record(
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

        // An outcome that is unknown can still be recorded by its claimant a little later.
        const val MAXIMUM_UNKNOWN = 3
        const val RECONNECT_MILLIS = 500L
        const val RETRY_MILLIS = 2_000L
    }
}
