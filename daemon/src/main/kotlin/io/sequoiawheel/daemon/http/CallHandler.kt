package io.sequoiawheel.daemon.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.serving.CallDemand
import io.sequoiawheel.core.serving.CallOutcome
import io.sequoiawheel.core.serving.CallRunner
import io.sequoiawheel.core.serving.Claims
import io.sequoiawheel.core.serving.Demand
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/** Serves calls of plain services and their recorded outcomes. */
internal class CallHandler(
    private val runner: CallRunner,
    private val reader: RequestReader,
    private val clock: Clock,
) {
    /** Runs a call. */
    suspend fun run(exchange: Exchange): Reply {
        val call = callOf(exchange) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_CALL))
        val key = exchange.call.request.headers[KEY_HEADER]
        if (!call.idempotent && (key == null || !keyPattern.matches(key))) return keyRequired()
        return bodyOf(exchange).fold(
            { Reply.Refusal(it) },
            { body -> reply(exchange, runner.run(CallDemand(demandOf(exchange, call), call, body, key))) },
        )
    }

    private suspend fun bodyOf(exchange: Exchange): Either<Failure, String> =
        reader.text(exchange.call).flatMap { body -> RequestReader.json(body).map { body } }

    /** Returns the recorded outcome of a call. */
    suspend fun outcome(exchange: Exchange): Reply {
        val call = callOf(exchange) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_CALL))
        val key = exchange.call.parameters["key"].orEmpty()
        if (call.idempotent || !keyPattern.matches(key)) return Reply.Refusal(Failure(ResultCode.OUTCOME_NOT_FOUND))
        val identity = Claims.Identity(exchange.document.service, exchange.workspace, call.name, key)
        return reply(exchange, runner.outcome(identity))
    }

    private fun callOf(exchange: Exchange): ServiceDocument.Call? {
        val name = exchange.call.parameters["call"].orEmpty()
        return exchange.document.calls.firstOrNull { it.name == name }
    }

    private fun demandOf(
        exchange: Exchange,
        call: ServiceDocument.Call,
    ): Demand {
        val end = clock.nowMillis() + call.deadlineMillis
        return Demand(
            requestId = exchange.requestId,
            workspace = exchange.workspace,
            document = exchange.document,
            requestKind = call.name,
            deadlineMillis = minOf(end, exchange.callerDeadlineMillis ?: end),
            priority = exchange.policy.priority,
        )
    }

    private fun reply(
        exchange: Exchange,
        outcome: CallOutcome,
    ): Reply {
        exchange.record.replica = outcome.replica
        exchange.record.queueMillis = outcome.queueMillis
        exchange.record.attempts = outcome.attempts
        outcome.failure?.let { return Reply.Refusal(it) }
        val answer = outcome.answer ?: return Reply.Refusal(Failure(ResultCode.INTERNAL_ERROR))
        val body =
            WireBodies.CallAnswer(
                code = outcome.code.number,
                requestId = exchange.requestId.value,
                answer = elementOf(answer.body),
                status = answer.status.takeIf { it != STATUS_OK },
            )
        return Reply.Json(outcome.code, WireBodies.json.encodeToString(WireBodies.CallAnswer.serializer(), body))
    }

    // An answer that is not JSON is handed on as a JSON string rather than lost.
    private fun elementOf(body: String): JsonElement = RequestReader.json(body).getOrElse { JsonPrimitive(body) }

    private fun keyRequired(): Reply {
        val detail = "a non-idempotent call needs an $KEY_HEADER of 1 to 256 visible characters"
        return Reply.Refusal(Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED, detail))
    }

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val STATUS_OK = 200
        val keyPattern = Regex("[!-~]{1,256}")
    }
}
