package io.sequoiawheel.daemon.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondText

/** Sends replies that were not streamed. */
internal object RespondFilter : RequestFilter {
    private const val MILLIS_PER_SECOND = 1_000L

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val reply = next(exchange)
        when (reply) {
            is Reply.Json -> send(exchange, reply.code.httpStatus, reply.body)
            is Reply.Refusal -> refuse(exchange, reply)
            is Reply.Streamed -> Unit
        }
        return reply
    }

    private suspend fun refuse(
        exchange: Exchange,
        reply: Reply.Refusal,
    ) {
        reply.failure.retryAfterMillis?.let { millis ->
            // Retry-After knows whole seconds only; the body has the exact time.
            val seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            exchange.call.response.header("Retry-After", seconds.toString())
        }
        val body = WireBodies.error(reply.failure, exchange.requestId, exchange.record.tokens)
        send(exchange, reply.code.httpStatus, body)
    }

    private suspend fun send(
        exchange: Exchange,
        status: Int,
        body: String,
    ) {
        exchange.call.respondText(body, ContentType.Application.Json, HttpStatusCode.fromValue(status))
    }
}
