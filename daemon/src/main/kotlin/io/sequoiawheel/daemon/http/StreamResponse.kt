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

/** Runs a generation and sends it as server-sent events from its first event on. */
internal object StreamResponse {
    /** Runs [generation], which writes to [sink]; a failure before the first event is returned as a refusal. */
    suspend fun run(
        exchange: Exchange,
        sink: StreamSink,
        generation: suspend () -> GenerationOutcome,
    ): Reply =
        coroutineScope {
            val outcome = async { generation() }
            val early =
                select {
                    sink.started.onAwait { null }
                    outcome.onAwait { it }
                }
            if (early != null && !sink.started.isCompleted) return@coroutineScope refusal(early)
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
                sendEnd(exchange, sink, outcome.await())
            }
        } catch (error: CancellationException) {
            throw error
        } catch (error: Exception) {
            // The caller closed its connection; the outcome says how far the generation came.
            sink.detach(error)
        }
        return outcome.await().code
    }

    private suspend fun sendEnd(
        exchange: Exchange,
        sink: StreamSink,
        outcome: GenerationOutcome,
    ) {
        if (outcome.code == ResultCode.CANCELLED) return
        try {
            sink.finish(lastEvent(exchange, outcome))
        } catch (error: CallerDisconnectedException) {
            // The generation is complete and its tokens can still be resumed; nobody is left to be told.
            return
        }
    }

    private fun lastEvent(
        exchange: Exchange,
        outcome: GenerationOutcome,
    ): String {
        val failure = outcome.failure
        if (failure != null) {
            return TokenEvents.event("error", WireBodies.error(failure, exchange.requestId, outcome.tokens))
        }
        val done = WireBodies.Done(outcome.code.number, outcome.tokens)
        return TokenEvents.event("done", WireBodies.json.encodeToString(WireBodies.Done.serializer(), done))
    }
}
