package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.RunDecision
import io.sequoiawheel.core.relay.RunStopPlan
import io.sequoiawheel.core.relay.SignalQueue
import io.sequoiawheel.core.relay.StopAnswer
import io.sequoiawheel.core.relay.StopPermit
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A run whose stream is not read any more.
 *
 * @property hasStarted whether the response of the run had begun
 * @property deadlineMillis when the replica ends the run by itself
 * @property leftAtMillis when the stream of the run was left
 * @property permit the permission to send the stop
 */
internal class LeftRun(
    val requestId: String,
    val replica: Replica,
    val hasStarted: Boolean,
    val deadlineMillis: Long,
    val leftAtMillis: Long,
    val permit: StopPermit,
)

/**
 * The result of a stop that precedes the continuation of a generation.
 *
 * @property isProven whether an answer proves the end of the run
 */
internal class FirstStop(
    val isProven: Boolean,
    val decision: RunDecision,
)

/**
 * Stops runs whose generation goes on at another replica, or ended while several replicas may have worked on it. Most
 * replicas stop a run when its connection closes; the others are asked to move it for the last time, which stops it.
 * They are asked until an answer proves the end of the run. Confined to the event loop.
 *
 * @param scope outlives the requests, since a stream may end before the run that it left
 */
internal class RunStopper(
    private val context: RelayContext,
    private val calls: EngineCalls,
    private val scope: CoroutineScope,
) {
    /** Number of runs whose end is not proven yet, and of requests to stop one that are not complete. */
    private var pending = 0

    /** The time of the clock that measures how long a run has been left. */
    fun nowMillis(): Long = context.clock.nowMillis()

    /**
     * Stops [run] by moving it to [destination].
     *
     * @param releasesCopy whether to free the copy that the stop makes. A replica may copy into an earlier copy of the
     *   run, which must stay while a successor waits to go on from it; an unused copy expires by itself.
     * @param isInUse whether the generation has returned to the replica of [run], which must not be stopped then
     */
    fun stop(
        run: LeftRun,
        destination: Replica,
        releasesCopy: Boolean,
        isInUse: () -> Boolean,
    ) {
        pending++
        scope.launch {
            try {
                delay(CLOSE_MILLIS)
                val trace = StopTrace()
                val outcome = stopRepeatedly(run, destination, releasesCopy, trace, isInUse)
                context.metrics.count("runs.left", outcome.label)
                context.log.request(
                    "run that went on elsewhere",
                    mapOf(
                        "request" to run.requestId,
                        "replica" to run.replica.toString(),
                        "outcome" to outcome.label,
                        "destination" to destination.toString(),
                        "tries" to trace.tries,
                        (if (outcome.isProven) "proof" else "detail") to trace.lastAnswer,
                        "milliseconds" to nowMillis() - run.leftAtMillis,
                    ),
                )
            } finally {
                run.permit.close()
                pending--
            }
        }
    }

    /** Returns the permission to stop a run at [replica], of which nothing is reserved yet. */
    fun permit(replica: Replica): StopPermit = context.stopPermit(replica)

    /**
     * Asks for the stop of [run], whose stream broke off, before its generation goes on elsewhere.
     *
     * @param destination the replica to which the run is moved
     * @param decide what the generation does after an answer, or none, and a time of waiting in milliseconds
     */
    suspend fun stopFirst(
        run: LeftRun,
        destination: Replica,
        releasesCopy: Boolean,
        decide: (StopAnswer?, Long) -> RunDecision,
    ): FirstStop {
        val startMillis = nowMillis()
        var decision = RunDecision.WAIT
        val outcome =
            stopRepeatedly(run, destination, releasesCopy, StopTrace(), isInUse = { false }) { answer ->
                decision = decide(answer, nowMillis() - startMillis)
                decision != RunDecision.WAIT
            }
        if (!outcome.isProven) return FirstStop(isProven = false, decision)
        run.permit.close()
        context.metrics.count("runs.stopped.first", outcome.label)
        return FirstStop(isProven = true, RunDecision.GO_ON)
    }

    /** Waits until the end of each run is proven, for at most [timeoutMillis]. */
    suspend fun awaitStops(timeoutMillis: Long) {
        withTimeoutOrNull(timeoutMillis) { while (pending > 0) delay(POLL_MILLIS) }
    }

    private suspend fun stopRepeatedly(
        run: LeftRun,
        destination: Replica,
        releasesCopy: Boolean,
        trace: StopTrace,
        isInUse: () -> Boolean,
        givesUp: (StopAnswer?) -> Boolean = { false },
    ): StopOutcome {
        val plan = RunStopPlan(nowMillis(), run.deadlineMillis, run.hasStarted)
        val results = SignalQueue<StopResult>()
        var unanswered = 0
        var mayUseKept = false
        while (true) {
            if (isInUse()) return StopOutcome.IN_USE
            if (unanswered < MAXIMUM_UNANSWERED) {
                unanswered++
                trace.tries++
                // A late answer still names the copy to be freed, so the request outlives the wait for it.
                val isOnKept = mayUseKept
                scope.launch { ask(run, destination, releasesCopy, isOnKept, trace, results.sender) }
            }
            val result = results.receiveWithin(ANSWER_MILLIS)
            if (result != null) {
                unanswered--
                trace.lastAnswer = result.detail
                if (result.answer == StopAnswer.UNREACHABLE) trace.isReached = false
                // A crowded replica resets new connections while those that it has serve on.
                mayUseKept = !mayUseKept && result.answer in CONNECTION_FAILURES
                val isListed = context.directory.all().any { it === run.replica }
                if (plan.isEnd(result.answer, isListed, nowMillis())) return outcome(result.answer)
            }
            // A replica that accepts connections may work on, even if it does not answer.
            val answer = result?.answer ?: StopAnswer.NO_RESPONSE.takeIf { trace.isReached }
            if (givesUp(answer)) return StopOutcome.NOT_STOPPED
            delay(plan.delayMillis(nowMillis()) ?: return StopOutcome.NOT_STOPPED)
        }
    }

    private fun outcome(proof: StopAnswer) =
        when (proof) {
            StopAnswer.STOPPED -> StopOutcome.STOPPED
            StopAnswer.UNREACHABLE -> StopOutcome.UNREACHABLE
            else -> StopOutcome.RUN_HAD_ENDED
        }

    /** Asks for the stop of [run] once, reports the result to [results] and frees the copy that the stop has made. */
    private suspend fun ask(
        run: LeftRun,
        destination: Replica,
        releasesCopy: Boolean,
        mayUseKept: Boolean,
        trace: StopTrace,
        results: SendChannel<StopResult>,
    ) {
        val source = run.replica
        pending++
        try {
            val result =
                calls.stopRun(run.requestId, source, destination, run.permit, mayUseKept, TIMEOUT_MILLIS) {
                    trace.isReached = true
                }
            // A source that could not copy the run has stopped it nevertheless if it names a handle.
            val handle =
                (result as? EngineResult.Response)?.takeIf { it.status !in RUN_ABSENT }?.let { handleOf(it.text) }
            results.trySend(interpret(result, handle))
            if (handle != null && releasesCopy) {
                // The source may want no further request; the copy occupies memory at the destination.
                val holder = if (context.waitMillis(source) > 0) destination else source
                calls.releaseCopy(holder, handle, TIMEOUT_MILLIS)
            }
        } finally {
            pending--
        }
    }

    private fun interpret(
        result: EngineResult,
        handle: String?,
    ): StopResult =
        when (result) {
            is EngineResult.Unreachable -> StopResult(StopAnswer.UNREACHABLE, result.detail)
            is EngineResult.NoResponse -> StopResult(StopAnswer.NO_RESPONSE, result.detail)
            is EngineResult.HeldBack -> StopResult(StopAnswer.HELD_BACK, result.detail)
            is EngineResult.Response -> {
                val answer =
                    when {
                        // On a used connection, only a handle proves that the response is the one to this request.
                        result.status in RUN_ABSENT && result.isOnUsedConnection -> StopAnswer.REFUSED
                        result.status == NOT_FOUND -> StopAnswer.NO_SUCH_RUN
                        result.status == MISDIRECTED -> StopAnswer.REPLACED
                        handle != null || result.status == OK && !result.isOnUsedConnection -> StopAnswer.STOPPED
                        else -> StopAnswer.REFUSED
                    }
                StopResult(answer, if (handle == null) "status ${result.status}" else "handle, status ${result.status}")
            }
        }

    private fun handleOf(text: String): String? =
        try {
            EngineProtocol.decodeHandle(text)
        } catch (unreadable: UnreadableDocumentException) {
            context.log.dependency("unreadable response to a stop", mapOf("detail" to unreadable.message))
            null
        }

    /** What one request to stop a run led to, with the [detail] for the log. */
    private class StopResult(
        val answer: StopAnswer,
        val detail: String,
    )

    /**
     * What a stop has tried.
     *
     * @property isReached whether the replica has accepted a connection since the last one that failed
     */
    private class StopTrace {
        var tries = 0
        var lastAnswer: String? = null
        var isReached = false
    }

    /** The result of a stop; [label] is the value in metrics and logs. */
    private enum class StopOutcome(
        val label: String,
        val isProven: Boolean = false,
    ) {
        STOPPED("stopped", isProven = true),
        RUN_HAD_ENDED("had_ended", isProven = true),
        UNREACHABLE("unreachable"),
        NOT_STOPPED("not_stopped"),
        IN_USE("in_use"),
    }

    private companion object {
        /** Answers after which another connection may succeed. */
        val CONNECTION_FAILURES = setOf(StopAnswer.UNREACHABLE, StopAnswer.NO_RESPONSE)
        const val OK = 200
        const val NOT_FOUND = 404

        /** The named replica does not run it, or is not at its address any more. */
        val RUN_ABSENT = setOf(NOT_FOUND, MISDIRECTED)

        /**
         * The close of a connection takes a few milliseconds to reach a replica, most of which then stop the run by
         * themselves, without a copy.
         */
        const val CLOSE_MILLIS = 80L

        /** The run stops before it is copied; the response follows the copy, which queues behind others. */
        const val TIMEOUT_MILLIS = 2_500L

        /** Time after which the stop is requested once more, since the request or its response may be lost. */
        const val ANSWER_MILLIS = 150L

        /** Requests for the stop of one run that wait for their responses at a time. */
        const val MAXIMUM_UNANSWERED = 3

        /** Interval at which the end of all stops is checked. */
        const val POLL_MILLIS = 20L
    }
}
