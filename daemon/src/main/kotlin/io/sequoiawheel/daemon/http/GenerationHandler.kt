package io.sequoiawheel.daemon.http

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.serving.Demand
import io.sequoiawheel.core.serving.GenerationOutcome
import io.sequoiawheel.core.serving.GenerationRunner
import io.sequoiawheel.core.stream.ResumeHandle
import io.sequoiawheel.core.stream.ResumeHandleCodec

/** Serves new generations. */
internal class GenerationHandler(
    private val runner: GenerationRunner,
    private val handles: ResumeHandleCodec,
    private val reader: RequestReader,
    private val clock: Clock,
    private val wholeAnswerBytes: Int,
) {
    suspend fun handle(exchange: Exchange): Reply {
        val text = reader.text(exchange.call).getOrElse { return Reply.Refusal(it) }
        val body =
            RequestReader
                .parse(WireBodies.GenerationBody.serializer(), text)
                .getOrElse { return Reply.Refusal(it) }
        val demand = demandOf(exchange, body).getOrElse { return Reply.Refusal(it) }
        val delivery = body.delivery ?: exchange.document.delivery
        return if (delivery == ServiceDocument.Delivery.WHOLE) whole(exchange, demand) else stream(exchange, demand)
    }

    private fun demandOf(
        exchange: Exchange,
        body: WireBodies.GenerationBody,
    ): Either<Failure, Demand> {
        val document = exchange.document
        val failure = modelFailure(document, body) ?: sizeFailure(body)
        if (failure != null) return failure.left()
        val end = clock.nowMillis() + document.deadlines.totalMillis
        return priorityOf(exchange).map { priority ->
            Demand(
                requestId = exchange.requestId,
                workspace = exchange.workspace,
                document = document,
                requestKind = body.kind,
                deadlineMillis = minOf(end, exchange.callerDeadlineMillis ?: end),
                model = body.model,
                adapter = body.adapter,
                prompt = body.prompt,
                promptTokens = body.prompt.length / CHARACTERS_PER_TOKEN + 1,
                maximumTokens = body.maxTokens,
                priority = priority,
            )
        }
    }

    private fun modelFailure(
        document: ServiceDocument,
        body: WireBodies.GenerationBody,
    ): Failure? {
        val model = document.models.firstOrNull { it.name == body.model }
        val adapterKnown = body.adapter == null || model?.adapters.orEmpty().any { it.name == body.adapter }
        return if (model == null || !adapterKnown) Failure(ResultCode.UNKNOWN_MODEL) else null
    }

    private fun sizeFailure(body: WireBodies.GenerationBody): Failure? =
        when {
            body.maxTokens < 1 -> RequestReader.invalid("$.maxTokens: must be 1 or more")
            body.kind.length > MAXIMUM_KIND_LENGTH ->
                RequestReader.invalid("$.kind: must have at most $MAXIMUM_KIND_LENGTH characters")
            else -> null
        }

    // A caller may lower its workspace's priority, never raise it.
    private fun priorityOf(exchange: Exchange): Either<Failure, Int> {
        val text = exchange.call.request.headers[PRIORITY_HEADER] ?: return exchange.policy.priority.right()
        val asked = text.toIntOrNull() ?: return RequestReader.invalid("$PRIORITY_HEADER must be a number").left()
        return minOf(asked, exchange.policy.priority).right()
    }

    private suspend fun whole(
        exchange: Exchange,
        demand: Demand,
    ): Reply {
        val sink = WholeSink(wholeAnswerBytes) { noteFirstToken(exchange) }
        val outcome =
            try {
                runner.run(demand, sink)
            } catch (error: AnswerTooLargeException) {
                return Reply.Refusal(Failure(ResultCode.STREAM_INTERRUPTED, error.message.orEmpty()))
            }
        note(exchange, outcome)
        outcome.failure?.let { return Reply.Refusal(it) }
        val answer =
            WireBodies.WholeAnswer(outcome.code.number, exchange.requestId.value, outcome.tokens, sink.text)
        return Reply.Json(outcome.code, WireBodies.json.encodeToString(WireBodies.WholeAnswer.serializer(), answer))
    }

    private suspend fun stream(
        exchange: Exchange,
        demand: Demand,
    ): Reply {
        val sink =
            StreamSink(
                acceptedEvent = { replica, generation ->
                    val handle =
                        ResumeHandle(
                            service = demand.document.service,
                            replica = replica.id,
                            generation = generation,
                            workspace = demand.workspace,
                            requestId = demand.requestId,
                        )
                    acceptedEvent(exchange, handles.encode(handle))
                },
                onFirstToken = { noteFirstToken(exchange) },
            )
        return StreamResponse.run(exchange, sink) { runner.run(demand, sink).also { note(exchange, it) } }
    }

    private fun noteFirstToken(exchange: Exchange) {
        exchange.record.firstTokenMillis = clock.nowMillis() - exchange.startedMillis
    }

    internal companion object {
        const val PRIORITY_HEADER = "X-Priority"
        private const val MAXIMUM_KIND_LENGTH = 64

        // English text has about four characters per token; engines report the true number with their load.
        private const val CHARACTERS_PER_TOKEN = 4

        fun acceptedEvent(
            exchange: Exchange,
            handle: String,
        ): String {
            val accepted = WireBodies.Accepted(exchange.requestId.value, handle)
            val json = WireBodies.json.encodeToString(WireBodies.Accepted.serializer(), accepted)
            return TokenEvents.event("accepted", json)
        }

        fun note(
            exchange: Exchange,
            outcome: GenerationOutcome,
        ) {
            exchange.record.replica = outcome.replica
            exchange.record.tokens = outcome.tokens
            exchange.record.stallMillis = outcome.stallMillis
            exchange.record.queueMillis = outcome.queueMillis
            exchange.record.attempts = outcome.attempts
        }
    }
}
