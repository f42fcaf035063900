/*
 * One connection to a backend server or to the platform's store. It carries one exchange at a time. Whatever goes wrong
 * ends the connection; a connection is used again only after a complete exchange with nothing left over.
 */
package io.sequoiawheel.relay.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.platform.Headers
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Bytes that are no response in the protocol, or a response to another request. */
internal class InvalidResponseException(
    message: String,
) : IOException(message)

internal class BackendConnection(
    private val channel: Channel,
    private val clock: Clock,
) : ChannelInboundHandlerAdapter() {
    private val inbound = InboundQueue()
    private var isExchanging = false
    private var sent: ChannelFuture? = null
    private var idleSinceMillis = clock.nowMillis()
    private var keepMillis = DEFAULT_KEEP_MILLIS
    private var mayKeep = true

    /** Whether at least one exchange was completed before. */
    var isReused = false
        private set

    val isOpen: Boolean get() = channel.isActive

    /** How long the connection has been idle, in milliseconds. */
    val idleMillis: Long get() = clock.nowMillis() - idleSinceMillis

    /** How long the peer keeps an idle connection, in milliseconds, less a margin for requests on their way. */
    val usableIdleMillis: Long get() = keepMillis

    override fun handlerAdded(context: ChannelHandlerContext) {
        inbound.attach(context.channel())
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (!isExchanging) {
            // Bytes that nothing asked for belong to no request.
            ReferenceCountUtil.release(message)
            abort()
            return
        }
        inbound.offer(message as HttpObject)
    }

    override fun channelInactive(context: ChannelHandlerContext) = inbound.end()

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        inbound.end(cause)
        context.close()
    }

    /** Sends [request] whole. Returns when it is handed to the network, or throws if the connection is gone. */
    suspend fun send(request: FullHttpRequest) {
        if (!isOpen) {
            request.release()
            throw ConnectionEndedException("connection closed before the request was sent", isReset = false)
        }
        isExchanging = true
        sent = channel.writeAndFlush(request)
    }

    /** Returns the head of the response to [requestId]; responses to other requests before it are skipped. */
    suspend fun receiveHead(requestId: String?): HttpResponse {
        while (true) {
            val message = receiveMessage()
            val head = message as? HttpResponse
            if (head == null) {
                ReferenceCountUtil.release(message)
                continue
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) continue
            noteKeeping(head)
            val echoed = head.headers().get(Headers.REQUEST_ID)
            if (requestId == null || echoed == requestId) return head
            if (echoed == null) throw InvalidResponseException("a response that names no request")
            mayKeep = false
            skipBody()
        }
    }

    /** Returns the next part of the body; a [LastHttpContent] ends it. The caller releases it. */
    suspend fun receiveContent(): HttpContent {
        val message = receiveMessage()
        val content = message as? HttpContent
        if (content == null) {
            ReferenceCountUtil.release(message)
            throw InvalidResponseException("a response began inside another")
        }
        if (content is LastHttpContent && inbound.failure != null) {
            content.release()
            throw ConnectionEndedException("connection was reset inside the response", isReset = true)
        }
        return content
    }

    /** Reads the rest of the body, up to [limitBytes]. */
    suspend fun receiveBody(limitBytes: Int = BODY_LIMIT_BYTES): ByteArray {
        val body = ByteArrayOutputStream()
        while (true) {
            val content = receiveContent()
            val isLast = content is LastHttpContent
            content.content().readBytes(body, content.content().readableBytes())
            content.release()
            if (body.size() > limitBytes) throw InvalidResponseException("response body exceeds $limitBytes bytes")
            if (isLast) return body.toByteArray()
        }
    }

    /** Ends a complete exchange. Returns whether the connection may carry another one. */
    fun complete(): Boolean {
        isExchanging = false
        isReused = true
        idleSinceMillis = clock.nowMillis()
        // What came after the response belongs to no request, and would be taken for the next response.
        val reusable = mayKeep && isOpen && sent?.isSuccess == true && !inbound.hasWaiting
        if (!reusable) close()
        return reusable
    }

    /** Closes the connection after a complete exchange. */
    fun close() {
        inbound.discard()
        channel.close()
    }

    /** Ends the connection at once, in the middle of whatever it carries. */
    fun abort() {
        inbound.discard()
        channel.reset()
    }

    private suspend fun receiveMessage(): HttpObject {
        val message = inbound.receive()
        if (message.decoderResult().isFailure) {
            val cause = message.decoderResult().cause()
            ReferenceCountUtil.release(message)
            throw InvalidResponseException("no response in the protocol: ${cause?.message}")
        }
        return message
    }

    private suspend fun skipBody() {
        while (true) {
            val content = receiveContent()
            val isLast = content is LastHttpContent
            content.release()
            if (isLast) return
        }
    }

    private fun noteKeeping(head: HttpResponse) {
        val headers = head.headers()
        val isFramed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
        mayKeep = mayKeep && isFramed && HttpUtil.isKeepAlive(head)
        val seconds =
            headers
                .get(KEEP_ALIVE_HEADER)
                ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        keepMillis = if (seconds == null) DEFAULT_KEEP_MILLIS else seconds * MILLIS_PER_SECOND - KEEP_MARGIN_MILLIS
        headers.remove(HttpHeaderNames.KEEP_ALIVE)
    }

    private companion object {
        const val KEEP_ALIVE_HEADER = "Keep-Alive"
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")
        const val MILLIS_PER_SECOND = 1_000L

        /** Peers that state no timeout may keep an idle connection for less than a second. */
        const val DEFAULT_KEEP_MILLIS = 400L

        /** A request must arrive before the peer's timeout, which is stated in whole seconds. */
        const val KEEP_MARGIN_MILLIS = 300L

        /** Bounds the memory of one buffered response. */
        const val BODY_LIMIT_BYTES = 8_388_608
    }
}
