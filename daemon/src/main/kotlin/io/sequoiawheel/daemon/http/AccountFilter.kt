package io.sequoiawheel.daemon.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CancellationException

/** Writes one log line and the metrics of each request, and answers unexpected errors with `INTERNAL_ERROR`. */
internal class AccountFilter(
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
                account(exchange, ResultCode.CANCELLED)
                throw error
            } catch (error: Exception) {
                logger.error(error) { "request ${exchange.requestId} failed" }
                Reply.Refusal(Failure(ResultCode.INTERNAL_ERROR))
            }
        account(exchange, reply.code)
        return reply
    }

    private fun account(
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
        val record = exchange.record
        return mapOf(
            "requestId" to exchange.requestId.value,
            "kind" to exchange.kind.label,
            "workspace" to exchange.workspaceOrNull?.value,
            "service" to exchange.service?.value,
            "replica" to record.replica?.value,
            "code" to code.number,
            "name" to code.name,
            "tokens" to record.tokens,
            "attempts" to record.attempts,
            "queueMillis" to record.queueMillis,
            "firstTokenMillis" to record.firstTokenMillis,
            "stallMillis" to record.stallMillis,
            "elapsedMillis" to elapsedMillis,
        )
    }

    private companion object {
        val logger = KotlinLogging.logger("io.sequoiawheel.daemon.requests")
    }
}
