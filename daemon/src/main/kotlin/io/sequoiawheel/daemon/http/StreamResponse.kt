package io.sequoiawheel.daemon.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.CallerDisconnectedException
import io.sequoiawheel.core.serving.GenerationOutcome
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Runs a generation and streams it to the caller as server-sent events. */
internal object StreamResponse {
    /** Runs [generation], which writes to [sink]. A failure before the first event is returned as [Reply.Refusal]. */
    suspend fun run(
        exchange: Exchange,
        sink: StreamSink,
        generation: suspend () -> GenerationOutcome,
    ): Reply =
        coroutineScope {
            val outcome = async { generation() }
            val earlyOutcome =
                select {
                    sink.started.onAwait { null }
                    outcome.onAwait { it }
                }
            if (earlyOutcome != null && !sink.started.isCompleted) return@coroutineScope refusal(earlyOutcome)
            Reply.Streamed(respond(exchange, sink, outcome))
        }

    private fun refusal(outcome: GenerationOutcome): Reply =
        Reply.Refusal(outcome.failure ?: Failure(ResultCode.INTERNAL_ERROR))

    private suspend fun respond(
        exchange: Exchange,
        sink: StreamSink,
        outcome: Deferred<GenerationOutcome>,
    ): ResultCode {
        exchange.call.response.header("Cache-Control", "no-store")
        try {
            exchange.call.respondBytesWriter(ContentType.Text.EventStream, HttpStatusCode.OK) {
                sink.attach(this)
                sendLastEvent(exchange, sink, outcome.await())
            }
        } catch (error: CancellationException) {
            throw error
        } catch (error: Exception) {
            // The caller closed its connection; the outcome records how far the generation got.
            sink.fail(error)
        }
        return outcome.await().code
    }

    private suspend fun sendLastEvent(
        exchange: Exchange,
        sink: StreamSink,
        outcome: GenerationOutcome,
    ) {
        if (outcome.code == ResultCode.CANCELLED) return
        try {
            sink.finish(buildLastEvent(exchange, outcome))
        } catch (error: CallerDisconnectedException) {
            // The generation is complete and can still be resumed, but no caller is connected for the last event.
            return
        }
    }

    private fun buildLastEvent(
        exchange: Exchange,
        outcome: GenerationOutcome,
    ): String {
        val failure = outcome.failure
        if (failure != null) {
            return ServerSentEvents.event("error", WireBodies.error(failure, exchange.requestId, outcome.tokens))
        }
        val done = WireBodies.Done(outcome.code.number, outcome.tokens)
        return ServerSentEvents.event("done", WireBodies.json.encodeToString(WireBodies.Done.serializer(), done))
    }
}
