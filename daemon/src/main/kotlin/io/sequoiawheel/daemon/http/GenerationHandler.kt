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

/** Handles requests for new generations. */
internal class GenerationHandler(
    private val runner: GenerationRunner,
    private val handles: ResumeHandleCodec,
    private val reader: RequestReader,
    private val clock: Clock,
    private val wholeAnswerBytes: Int,
) {
    suspend fun handle(exchange: Exchange): Reply {
        val text = reader.readBody(exchange.call).getOrElse { return Reply.Refusal(it) }
        val body =
            RequestReader
                .parse(WireBodies.GenerationBody.serializer(), text)
                .getOrElse { return Reply.Refusal(it) }
        val demand = createDemand(exchange, body).getOrElse { return Reply.Refusal(it) }
        val delivery = body.delivery ?: exchange.document.delivery
        return if (delivery == ServiceDocument.Delivery.WHOLE) buffer(exchange, demand) else stream(exchange, demand)
    }

    private fun createDemand(
        exchange: Exchange,
        body: WireBodies.GenerationBody,
    ): Either<Failure, Demand> {
        val document = exchange.document
        val failure = validateModel(document, body) ?: validateLimits(body)
        if (failure != null) return failure.left()
        val documentDeadlineMillis = clock.nowMillis() + document.deadlines.totalMillis
        return readPriority(exchange).map { priority ->
            Demand(
                requestId = exchange.requestId,
                workspace = exchange.workspace,
                document = document,
                requestKind = body.kind,
                deadlineMillis = minOf(documentDeadlineMillis, exchange.callerDeadlineMillis ?: documentDeadlineMillis),
                model = body.model,
                adapter = body.adapter,
                prompt = body.prompt,
                promptTokens = body.prompt.length / CHARACTERS_PER_TOKEN + 1,
                maximumTokens = body.maxTokens,
                priority = priority,
            )
        }
    }

    private fun validateModel(
        document: ServiceDocument,
        body: WireBodies.GenerationBody,
    ): Failure? {
        val model = document.models.firstOrNull { it.name == body.model }
        val adapterKnown = body.adapter == null || model?.adapters.orEmpty().any { it.name == body.adapter }
        return if (model == null || !adapterKnown) Failure(ResultCode.UNKNOWN_MODEL) else null
    }

    private fun validateLimits(body: WireBodies.GenerationBody): Failure? =
        when {
            body.maxTokens < 1 -> RequestReader.invalidRequest("$.maxTokens: must be 1 or more")
            body.kind.length > MAXIMUM_KIND_LENGTH ->
                RequestReader.invalidRequest("$.kind: must have at most $MAXIMUM_KIND_LENGTH characters")
            else -> null
        }

    // A caller may lower the priority of its workspace but not raise it.
    private fun readPriority(exchange: Exchange): Either<Failure, Int> {
        val header = exchange.call.request.headers[PRIORITY_HEADER] ?: return exchange.policy.priority.right()
        val requestedPriority =
            header.toIntOrNull()
                ?: return RequestReader.invalidRequest("$PRIORITY_HEADER must be an integer").left()
        return minOf(requestedPriority, exchange.policy.priority).right()
    }

    private suspend fun buffer(
        exchange: Exchange,
        demand: Demand,
    ): Reply {
        val sink = BufferingSink(wholeAnswerBytes) { recordFirstToken(exchange) }
        val outcome =
            try {
                runner.run(demand, sink)
            } catch (error: AnswerTooLargeException) {
                return Reply.Refusal(Failure(ResultCode.STREAM_INTERRUPTED, error.message.orEmpty()))
            }
        recordOutcome(exchange, outcome)
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
                onFirstToken = { recordFirstToken(exchange) },
            )
        return StreamResponse.run(exchange, sink) { runner.run(demand, sink).also { recordOutcome(exchange, it) } }
    }

    private fun recordFirstToken(exchange: Exchange) {
        exchange.statistics.firstTokenMillis = clock.nowMillis() - exchange.startedMillis
    }

    internal companion object {
        const val PRIORITY_HEADER = "X-Priority"
        private const val MAXIMUM_KIND_LENGTH = 64

        // English text has about four characters per token; engines report the actual number with their load.
        private const val CHARACTERS_PER_TOKEN = 4

        fun acceptedEvent(
            exchange: Exchange,
            handle: String,
        ): String {
            val accepted = WireBodies.Accepted(exchange.requestId.value, handle)
            val json = WireBodies.json.encodeToString(WireBodies.Accepted.serializer(), accepted)
            return ServerSentEvents.event("accepted", json)
        }

        fun recordOutcome(
            exchange: Exchange,
            outcome: GenerationOutcome,
        ) {
            exchange.statistics.replica = outcome.replica
            exchange.statistics.tokens = outcome.tokens
            exchange.statistics.stallMillis = outcome.stallMillis
            exchange.statistics.queueMillis = outcome.queueMillis
            exchange.statistics.attempts = outcome.attempts
        }
    }
}
