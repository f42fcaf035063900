package io.sequoiawheel.experiment.claims

import arrow.core.Either
import arrow.core.right
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.serving.DispatchException
import io.sequoiawheel.core.serving.PlainAnswer
import io.sequoiawheel.core.serving.PlainGateway
import io.sequoiawheel.core.serving.PlainRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

/**
 * Simulates the backend servers of a plain service and the network to them. A run that has started continues when its
 * entry instance crashes. Every run returns a different answer, so an answer identifies its run.
 */
internal class SimulatedGateway(
    plans: List<CallPlan>,
    private val clock: Clock,
    private val history: HistoryRecorder,
    private val scope: CoroutineScope,
) {
    private val plans = plans.associateBy { it.key }
    private val dispatchedKeys = HashSet<String>()
    private var runCount = 0

    /** Returns the gateway for the entry instance [entry]. */
    fun forEntry(entry: EntryModel): PlainGateway =
        object : PlainGateway {
            override suspend fun call(
                replica: Instance,
                request: PlainRequest,
                deadlineMillis: Long,
            ): PlainAnswer = entry.whileAlive { dispatch(entry, replica, request) }

            override suspend fun load(replica: Instance): Either<Failure, LoadReport> = LoadReport("start").right()
        }

    private suspend fun dispatch(
        entry: EntryModel,
        replica: Instance,
        request: PlainRequest,
    ): PlainAnswer {
        val now = clock.nowMillis()
        history.record(HistoryEvent.Dispatched(now, request.requestId, entry.id, replica.id))
        delay(LINK_DELAY_MILLIS)
        val plan = plans.getValue(request.body)
        val fault = if (dispatchedKeys.add(plan.key)) plan.fault else CallPlan.Fault.NONE
        if (fault == CallPlan.Fault.CONNECT_FAILED || fault == CallPlan.Fault.REFUSED) {
            throw DispatchException(DispatchException.Outcome.NOT_RUN, "$fault")
        }
        val run = startRun(replica, request, plan)
        if (fault == CallPlan.Fault.ANSWER_LOST) {
            delay(plan.durationMillis)
            throw DispatchException(DispatchException.Outcome.UNKNOWN, "$fault")
        }
        return run.await().also { delay(LINK_DELAY_MILLIS) }
    }

    private fun startRun(
        replica: Instance,
        request: PlainRequest,
        plan: CallPlan,
    ) = scope.async {
        val answer = "\"${plan.key} run ${runCount++}\""
        history.record(HistoryEvent.RunStarted(clock.nowMillis(), request.requestId, replica.id))
        delay(plan.durationMillis)
        history.record(HistoryEvent.RunEnded(clock.nowMillis(), request.requestId, replica.id, answer))
        PlainAnswer(request.requestId, 200, answer)
    }

    private companion object {
        const val LINK_DELAY_MILLIS = 1L
    }
}
