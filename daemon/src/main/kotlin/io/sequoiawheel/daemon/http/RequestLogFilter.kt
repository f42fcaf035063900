package io.sequoiawheel.daemon.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CancellationException

/** Logs each request, records its metrics and turns uncaught exceptions into `INTERNAL_ERROR`. */
internal class RequestLogFilter(
    private val metrics: DaemonMetrics,
    private val clock: Clock,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val reply =
            try {
                next(exchange)
            } catch (error: CancellationException) {
                recordRequest(exchange, ResultCode.CANCELLED)
                throw error
            } catch (error: Exception) {
                logger.error(error) { "request ${exchange.requestId} failed" }
                Reply.Refusal(Failure(ResultCode.INTERNAL_ERROR))
            }
        recordRequest(exchange, reply.code)
        return reply
    }

    private fun recordRequest(
        exchange: Exchange,
        code: ResultCode,
    ) {
        val elapsedMillis = clock.nowMillis() - exchange.startedMillis
        metrics.record(exchange, code, elapsedMillis)
        logger.atInfo {
            message = "request"
            payload = logFields(exchange, code, elapsedMillis)
        }
    }

    private fun logFields(
        exchange: Exchange,
        code: ResultCode,
        elapsedMillis: Long,
    ): Map<String, Any?> {
        val statistics = exchange.statistics
        return mapOf(
            "requestId" to exchange.requestId.value,
            "kind" to exchange.kind.label,
            "workspace" to exchange.workspaceOrNull?.value,
            "service" to exchange.service?.value,
            "replica" to statistics.replica?.value,
            "code" to code.number,
            "name" to code.name,
            "tokens" to statistics.tokens,
            "attempts" to statistics.attempts,
            "queueMillis" to statistics.queueMillis,
            "firstTokenMillis" to statistics.firstTokenMillis,
            "stallMillis" to statistics.stallMillis,
            "elapsedMillis" to elapsedMillis,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger("io.sequoiawheel.daemon.requests")
    }
}
