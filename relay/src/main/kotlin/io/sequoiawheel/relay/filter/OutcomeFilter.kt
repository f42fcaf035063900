package io.sequoiawheel.relay.filter

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CancellationException

/** Logs and counts the result of each request, and turns an unexpected exception or error into an error response. */
internal class OutcomeFilter(
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        try {
            next(exchange)
        } catch (cancelled: CancellationException) {
            // Aborting a response closes the connection, which cancels the request as if the caller had disconnected.
            // A result that is already set is therefore kept.
            if (exchange.result == null) exchange.result = ResultCode.CANCELLED
            throw cancelled
        } catch (failure: Throwable) {
            exchange.fail(ResultCode.INTERNAL_ERROR, "unexpected exception: $failure")
        } finally {
            recordResult(exchange)
        }
    }

    private fun recordResult(exchange: Exchange) {
        val durationMillis = clock.nowMillis() - exchange.request.receivedAtMillis
        val result = exchange.result ?: ResultCode.OK
        metrics.recordRequest(exchange.route?.kind?.name ?: "NONE", result.name, durationMillis)
        if (exchange.response.isStarted && !exchange.response.isComplete) {
            val interruption = exchange.interruption?.takeIf { result == ResultCode.STREAM_INTERRUPTED }
            metrics.count("responses.broken", (interruption ?: result.name).lowercase())
        }
        log.requestEnd(isUnusual(exchange, result)) {
            mapOf(
                "request" to exchange.requestId,
                "route" to exchange.route?.name,
                "workspace" to exchange.workspace?.name?.value,
                "configuration" to exchange.configurationVersion,
                "code" to result.number,
                "result" to result.name,
                "status" to exchange.response.status,
                "response" to exchange.response.progress.name,
                "milliseconds" to durationMillis,
                "sends" to exchange.sends,
                "trace" to exchange.sendLog.fields(),
            ) + exchange.logFields
        }
    }

    /** Refusals of requests that were not sent are ordinary: an overloaded instance makes many of them. */
    private fun isUnusual(
        exchange: Exchange,
        result: ResultCode,
    ): Boolean =
        exchange.sendLog.isUnusual ||
            exchange.sends > 0 &&
            (result != ResultCode.OK || exchange.sends > 1 || !exchange.response.isComplete)
}
