package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.filter.Exchange

/** Builds the requests sent to replicas and filters the response headers that are forwarded to callers. */
internal class BackendRequests(
    private val clock: Clock,
) {
    /** Returns the caller's request for [replica], with the remaining time and the headers that the relay sets. */
    fun build(
        exchange: Exchange,
        replica: Replica,
        extraHeaders: Map<String, String> = emptyMap(),
    ): DefaultFullHttpRequest {
        val request = exchange.request
        val content = request.body.toBuffer()
        val result = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.target, content)
        val headers = result.headers()
        val dropped = droppedNames(request.headers)
        request.headers.forEach { (name, value) -> if (name.lowercase() !in dropped) headers.add(name, value) }
        val isFramed =
            request.headers.contains(HttpHeaderNames.CONTENT_LENGTH) ||
                request.headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        if (isFramed || request.body.size > 0) headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        headers.set(Headers.EXPECTED_REPLICA, replica.entry.id.value)
        headers.set(Headers.TIMEOUT_MILLIS, (exchange.deadlineMillis - clock.nowMillis()).coerceAtLeast(1))
        exchange.workspace?.let { headers.set(Headers.WORKSPACE, it.name.value) }
        extraHeaders.forEach { (name, value) -> headers.set(name, value) }
        return result
    }

    /** Returns the headers of a replica's response that are forwarded to the caller. */
    fun callerHeaders(head: HttpResponse): HttpHeaders {
        val dropped = connectionNames(head.headers()) + HOP_BY_HOP
        val headers = DefaultHttpHeaders()
        head.headers().forEach { (name, value) -> if (name.lowercase() !in dropped) headers.add(name, value) }
        return headers
    }

    private fun droppedNames(headers: HttpHeaders): Set<String> =
        (connectionNames(headers) - Headers.endToEnd) + HOP_BY_HOP + Headers.setBySystem

    /** Returns the lower-case header names that the Connection header lists as hop-by-hop. */
    private fun connectionNames(headers: HttpHeaders): Set<String> =
        headers
            .getAll(HttpHeaderNames.CONNECTION)
            .flatMap { it.split(',') }
            .mapTo(HashSet()) { it.trim().lowercase() }

    private companion object {
        /** Hop-by-hop headers, and the framing headers that are set anew for the forwarded message. */
        val HOP_BY_HOP =
            setOf(
                "connection",
                "keep-alive",
                "proxy-connection",
                "proxy-authenticate",
                "proxy-authorization",
                "te",
                "trailer",
                "transfer-encoding",
                "upgrade",
                "content-length",
                "expect",
            )
    }
}
