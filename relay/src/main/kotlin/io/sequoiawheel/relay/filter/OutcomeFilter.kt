package io.sequoiawheel.relay.filter

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CancellationException

/** Logs and counts how each request ended, and turns an unexpected failure into a response. */
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
        } catch (left: CancellationException) {
            // Cutting a response closes the connection, which looks like a caller that left.
            if (exchange.result == null) exchange.result = ResultCode.CANCELLED
            throw left
        } catch (failure: Exception) {
            exchange.fail(ResultCode.INTERNAL_ERROR, "unexpected failure: $failure")
        } finally {
            record(exchange)
        }
    }

    private fun record(exchange: Exchange) {
        val millis = clock.nowMillis() - exchange.request.receivedAtMillis
        val result = exchange.result ?: ResultCode.OK
        metrics.recordRequest(exchange.route?.kind?.name ?: "NONE", result.name, millis)
        val fields =
            mapOf(
                "request" to exchange.requestId,
                "route" to exchange.route?.name,
                "workspace" to exchange.workspace?.name?.value,
                "configuration" to exchange.configuration?.version,
                "code" to result.number,
                "result" to result.name,
                "status" to exchange.response.status,
                "milliseconds" to millis,
            )
        log.request("request ended", fields + exchange.notes)
    }
}
