package io.sequoiawheel.relay.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import java.util.Locale

/** The response to one request. It is complete after [whole], [refuse] or [finish]; otherwise it is cut off. */
internal class CallerResponse(
    private val connection: CallerConnection,
    keepsConnection: Boolean,
    private val isLeaving: () -> Boolean,
) {
    /** Whether the connection may carry another request after this one. */
    var keepsConnection = keepsConnection
        private set

    var isStarted = false
        private set

    var isComplete = false
        private set

    /** Status that was sent, or 0. */
    var status = 0
        private set

    /** Ends the connection after this response. */
    fun closeAfter() {
        keepsConnection = false
    }

    /** Sends a whole response. */
    suspend fun whole(
        status: HttpResponseStatus,
        headers: HttpHeaders?,
        body: ByteArray,
    ) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
        headers?.let { response.headers().set(it) }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        begin(status, response.headers())
        connection.write(response)
        isComplete = true
        connection.awaitWritable()
    }

    /** Sends a response of this system's own: [code] with [detail], and when to come back if it did not run. */
    suspend fun refuse(
        status: HttpResponseStatus,
        code: ResultCode,
        detail: String,
        retryAfterMillis: Long? = null,
    ) {
        val body =
            buildJsonObject {
                put("code", JsonPrimitive(code.number))
                put("error", JsonPrimitive(code.name))
                put("detail", JsonPrimitive(detail))
            }.toString()
        val headers = DefaultHttpHeaders()
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        if (retryAfterMillis != null) headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMillis))
        whole(status, headers, body.toByteArray())
    }

    /** Starts a response whose body follows in parts. */
    fun start(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(headers)
        response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        begin(status, response.headers())
        connection.write(response)
    }

    /** Sends a part of the body, and waits while the caller reads too slowly. */
    suspend fun write(bytes: ByteArray) {
        connection.writeContent(bytes)
        connection.awaitWritable()
    }

    /** Waits while the caller reads more slowly than it is written to. */
    suspend fun awaitWritable() = connection.awaitWritable()

    /** Ends the body. */
    fun finish() {
        connection.write(LastHttpContent.EMPTY_LAST_CONTENT)
        isComplete = true
    }

    /** Cuts the connection, so that the caller sees that the response is not complete. */
    fun abort() = connection.abort()

    private fun begin(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    ) {
        isStarted = true
        this.status = status.code()
        if (isLeaving()) keepsConnection = false
        if (!keepsConnection) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Returns the interim response that asks for the body. */
        fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

        private fun seconds(millis: Long) = String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND)
    }
}
