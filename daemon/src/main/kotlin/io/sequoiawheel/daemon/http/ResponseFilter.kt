package io.sequoiawheel.daemon.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.header
import io.ktor.server.response.respondText

/** Sends the replies that are not already sent as streams. */
internal object ResponseFilter : RequestFilter {
    private const val MILLIS_PER_SECOND = 1_000L

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val reply = next(exchange)
        when (reply) {
            is Reply.Json -> send(exchange, reply.code.httpStatus, reply.body)
            is Reply.Refusal -> sendFailure(exchange, reply)
            is Reply.Streamed -> Unit
        }
        return reply
    }

    private suspend fun sendFailure(
        exchange: Exchange,
        reply: Reply.Refusal,
    ) {
        reply.failure.retryAfterMillis?.let { millis ->
            // Retry-After has a resolution of one second; the body states the milliseconds.
            val seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            exchange.call.response.header("Retry-After", seconds.toString())
        }
        val body = WireBodies.error(reply.failure, exchange.requestId, exchange.statistics.tokens)
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
