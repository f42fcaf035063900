package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Relays generations. Each request is handled by its own [GenerationRun].
 *
 * @param scope for what outlives a request
 * @param shutdownMillis returns the time until the process exits, or null if it is not shutting down
 */
internal class GenerationRelay(
    private val context: RelayContext,
    scope: CoroutineScope,
    shutdownMillis: () -> Long?,
) {
    private val calls = EngineCalls(context)
    private val copier = RunCopier(context, calls)
    private val stopper = RunStopper(context, calls, scope)
    private val admission = GenerationAdmission(context, shutdownMillis)

    /** Answers the request; at the deadline it sends an error, or aborts the response if it has already started. */
    suspend fun relay(
        exchange: Exchange,
        service: RelayService,
    ) {
        val remaining = exchange.deadlineMillis - context.clock.nowMillis()
        val completed =
            withTimeoutOrNull(remaining) {
                if (!admission.awaitTurn(exchange, service)) return@withTimeoutOrNull
                coroutineScope {
                    val run = GenerationRun(context, copier, stopper, exchange, service, this)
                    try {
                        run.run()
                    } finally {
                        run.stop()
                    }
                }
            }
        // The deadline may expire between the end of the response and that of the coroutines.
        if (completed != null || exchange.response.isComplete) return
        when {
            exchange.response.isStarted || exchange.mayHaveRun ->
                exchange.fail(ResultCode.DEADLINE_AFTER_DISPATCH, "the stream did not end before the deadline")

            else ->
                exchange.refuse(
                    NotRunProof.NOTHING_SENT,
                    ResultCode.DEADLINE_BEFORE_DISPATCH,
                    "no replica accepted the request before the deadline",
                    RETRY_AFTER_MILLIS,
                )
        }
    }

    /** Waits until no run is left that goes on elsewhere, for at most [timeoutMillis]. */
    suspend fun awaitStops(timeoutMillis: Long) = stopper.awaitStops(timeoutMillis)

    private companion object {
        /** About one queued generation starts per second, so capacity may be available by then. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
