package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.UnreadableDocumentException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Stops runs whose generation goes on at another replica. Most replicas stop a run when its connection closes; the
 * others are asked to move it for the last time, which stops it. Confined to the event loop.
 *
 * @param scope outlives the requests, since a stream may end before the run that it left
 */
internal class RunStopper(
    private val context: RelayContext,
    private val calls: EngineCalls,
    private val scope: CoroutineScope,
) {
    /** The time of the clock that measures how long a run has been left. */
    fun nowMillis(): Long = context.clock.nowMillis()

    /**
     * Asks [source] to stop its run of [requestId], which goes on at [destination].
     *
     * @param leftAtMillis when the stream of the run was left, for the log
     * @param isInUse whether the generation has returned to [source], whose run must not be stopped then
     */
    fun stop(
        requestId: String,
        source: Replica,
        destination: Replica,
        leftAtMillis: Long,
        isInUse: () -> Boolean,
    ) {
        scope.launch {
            delay(CLOSE_MILLIS)
            val trace = StopTrace()
            val outcome = stopRepeatedly(requestId, source, destination, trace, isInUse)
            context.metrics.count("runs.left", outcome.label)
            context.log.request(
                "run that went on elsewhere",
                mapOf(
                    "request" to requestId,
                    "replica" to source.toString(),
                    "outcome" to outcome.label,
                    "destination" to destination.toString(),
                    "tries" to trace.tries,
                    (if (outcome.isProven) "proof" else "detail") to trace.lastAnswer,
                    "milliseconds" to nowMillis() - leftAtMillis,
                ),
            )
        }
    }

    private suspend fun stopRepeatedly(
        requestId: String,
        source: Replica,
        destination: Replica,
        trace: StopTrace,
        isInUse: () -> Boolean,
    ): StopOutcome {
        repeat(ATTEMPTS) {
            if (isInUse()) return StopOutcome.IN_USE
            val purpose = SendPurpose.STOP
            val result = calls.copyRun(requestId, source, destination, stop = true, purpose, TIMEOUT_MILLIS)
            trace.record(result)
            when (result) {
                is EngineResult.Unreachable -> return StopOutcome.UNREACHABLE
                is EngineResult.Response -> {
                    if (result.status == NOT_FOUND) return StopOutcome.RUN_HAD_ENDED
                    // A source that could not copy the run has stopped it nevertheless if it names a handle.
                    val handle = handleOf(result.text)
                    if (handle != null) trace.lastAnswer = "handle, status ${result.status}"
                    if (handle != null) calls.releaseCopy(source, handle, purpose, TIMEOUT_MILLIS)
                    if (handle != null || result.status == OK) return StopOutcome.STOPPED
                }

                is EngineResult.NoResponse -> Unit
            }
            delay(RETRY_DELAY_MILLIS)
        }
        return StopOutcome.NOT_STOPPED
    }

    private fun handleOf(text: String): String? =
        try {
            EngineProtocol.decodeHandle(text)
        } catch (unreadable: UnreadableDocumentException) {
            context.log.dependency("unreadable response to a stop", mapOf("detail" to unreadable.message))
            null
        }

    /** What a stop has tried, for the log. */
    private class StopTrace {
        var tries = 0
        var lastAnswer: String? = null

        fun record(result: EngineResult) {
            tries++
            lastAnswer =
                when (result) {
                    is EngineResult.Response -> "status ${result.status}"
                    is EngineResult.Unreachable -> result.detail
                    is EngineResult.NoResponse -> result.detail
                }
        }
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
        const val OK = 200
        const val NOT_FOUND = 404

        /**
         * The close of a connection takes a few milliseconds to reach a replica, most of which then stop the run by
         * themselves, without a copy.
         */
        const val CLOSE_MILLIS = 80L

        /** The run stops before it is copied; the response follows the copy. */
        const val TIMEOUT_MILLIS = 1_000L

        /** A replica refuses while another copy of the run is in progress or its queue is full. */
        const val ATTEMPTS = 10
        const val RETRY_DELAY_MILLIS = 60L
    }
}
