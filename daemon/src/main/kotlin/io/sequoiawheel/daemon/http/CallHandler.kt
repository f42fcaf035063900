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

/** Handles calls to plain services and lookups of their recorded outcomes. */
internal class CallHandler(
    private val runner: CallRunner,
    private val reader: RequestReader,
    private val clock: Clock,
) {
    /** Runs the call named in the path; a non-idempotent call requires an `Idempotency-Key`. */
    suspend fun run(exchange: Exchange): Reply {
        val call = findCall(exchange) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_CALL))
        val key = exchange.call.request.headers[KEY_HEADER]
        if (!call.idempotent && (key == null || !keyPattern.matches(key))) return idempotencyKeyRequired()
        return readJsonBody(exchange).fold(
            { Reply.Refusal(it) },
            { body -> toReply(exchange, runner.run(CallDemand(createDemand(exchange, call), call, body, key))) },
        )
    }

    private suspend fun readJsonBody(exchange: Exchange): Either<Failure, String> =
        reader.readBody(exchange.call).flatMap { body -> RequestReader.parseJson(body).map { body } }

    /** Returns the recorded outcome of the non-idempotent call with the key in the path. */
    suspend fun outcome(exchange: Exchange): Reply {
        val call = findCall(exchange) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_CALL))
        val key = exchange.call.parameters["key"].orEmpty()
        if (call.idempotent || !keyPattern.matches(key)) return Reply.Refusal(Failure(ResultCode.OUTCOME_NOT_FOUND))
        val identity = Claims.Identity(exchange.document.service, exchange.workspace, call.name, key)
        return toReply(exchange, runner.outcome(identity))
    }

    private fun findCall(exchange: Exchange): ServiceDocument.Call? {
        val name = exchange.call.parameters["call"].orEmpty()
        return exchange.document.calls.firstOrNull { it.name == name }
    }

    private fun createDemand(
        exchange: Exchange,
        call: ServiceDocument.Call,
    ): Demand {
        val documentDeadlineMillis = clock.nowMillis() + call.deadlineMillis
        return Demand(
            requestId = exchange.requestId,
            workspace = exchange.workspace,
            document = exchange.document,
            requestKind = call.name,
            deadlineMillis = minOf(documentDeadlineMillis, exchange.callerDeadlineMillis ?: documentDeadlineMillis),
            priority = exchange.policy.priority,
        )
    }

    private fun toReply(
        exchange: Exchange,
        outcome: CallOutcome,
    ): Reply {
        exchange.statistics.replica = outcome.replica
        exchange.statistics.queueMillis = outcome.queueMillis
        exchange.statistics.attempts = outcome.attempts
        outcome.failure?.let { return Reply.Refusal(it) }
        val answer = outcome.answer ?: return Reply.Refusal(Failure(ResultCode.INTERNAL_ERROR))
        val body =
            WireBodies.CallAnswer(
                code = outcome.code.number,
                requestId = exchange.requestId.value,
                answer = toJsonElement(answer.body),
                status = answer.status.takeIf { it != STATUS_OK },
            )
        return Reply.Json(outcome.code, WireBodies.json.encodeToString(WireBodies.CallAnswer.serializer(), body))
    }

    // An answer that is not valid JSON is returned as a JSON string, so that its content is not lost.
    private fun toJsonElement(body: String): JsonElement =
        RequestReader.parseJson(body).getOrElse { JsonPrimitive(body) }

    private fun idempotencyKeyRequired(): Reply {
        val detail = "a non-idempotent call requires an $KEY_HEADER header of 1 to 256 visible characters"
        return Reply.Refusal(Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED, detail))
    }

    private companion object {
        const val KEY_HEADER = "Idempotency-Key"
        const val STATUS_OK = 200
        val keyPattern = Regex("[!-~]{1,256}")
    }
}
