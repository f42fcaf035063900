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
 * The backend servers of a plain service and the way to them. A run that has started goes on when its entry instance
 * dies. Every run gives another answer, so that an answer tells which run it came from.
 */
internal class DeskGateway(
    plans: List<CallPlan>,
    private val clock: Clock,
    private val history: HistoryRecorder,
    private val scope: CoroutineScope,
) {
    private val plans = plans.associateBy { it.key }
    private val seen = HashSet<String>()
    private var runs = 0

    /** Returns the gateway that the entry instance [entry] uses. */
    fun of(entry: EntryModel): PlainGateway =
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
        delay(LINK_MILLIS)
        val plan = plans.getValue(request.body)
        val fault = if (seen.add(plan.key)) plan.fault else CallPlan.Fault.NONE
        if (fault == CallPlan.Fault.CONNECT_FAILED || fault == CallPlan.Fault.REFUSED) {
            throw DispatchException(DispatchException.Outcome.NOT_RUN, "$fault")
        }
        val run = start(replica, request, plan)
        if (fault == CallPlan.Fault.ANSWER_LOST) {
            delay(plan.durationMillis)
            throw DispatchException(DispatchException.Outcome.UNKNOWN, "$fault")
        }
        return run.await().also { delay(LINK_MILLIS) }
    }

    private fun start(
        replica: Instance,
        request: PlainRequest,
        plan: CallPlan,
    ) = scope.async {
        val answer = "\"${plan.key} run ${runs++}\""
        history.record(HistoryEvent.RunStarted(clock.nowMillis(), request.requestId, replica.id))
        delay(plan.durationMillis)
        history.record(HistoryEvent.RunEnded(clock.nowMillis(), request.requestId, replica.id, answer))
        PlainAnswer(request.requestId, 200, answer)
    }

    private companion object {
        const val LINK_MILLIS = 1L
    }
}
