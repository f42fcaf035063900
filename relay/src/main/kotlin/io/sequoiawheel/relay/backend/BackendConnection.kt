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
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Bytes that are no response in the protocol, or a response to another request. */
internal class InvalidResponseException(
    message: String,
) : IOException(message)

internal class BackendConnection(
    private val channel: Channel,
    private val clock: Clock,
    private val memory: ResponseMemory,
) : ChannelInboundHandlerAdapter() {
    private val inbound = InboundQueue()
    private var isExchanging = false
    private var sent: ChannelFuture? = null
    private var idleSinceMillis = clock.nowMillis()
    private var keepMillis = DEFAULT_KEEP_MILLIS
    private var mayKeep = true
    private var hasDecoded = false
    private var isInResponse = false
    private var headTimeout: ScheduledFuture<*>? = null

    /** Called with the head of each answer, also of those that answer no request of this side. */
    var onHead: (HttpResponse) -> Unit = {}

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
        if (message is HttpResponse && message.decoderResult().isSuccess) onHead(message)
        if (!isExchanging) {
            // Bytes that nothing asked for belong to no request.
            ReferenceCountUtil.release(message)
            abort()
            return
        }
        hasDecoded = true
        if (message is HttpResponse) isInResponse = true
        if (message is LastHttpContent) isInResponse = false
        inbound.offer(message as HttpObject)
    }

    /** Bytes that do not make a head within a bounded time are no response, also if they come without end. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        val isPartialHead = isExchanging && !isInResponse && !hasDecoded
        if (hasDecoded) stopHeadTimeout()
        hasDecoded = false
        if (isPartialHead && headTimeout == null) {
            val late = InvalidResponseException("a response head that takes more than $HEAD_LIMIT_MILLIS ms")
            val fail = Runnable { exceptionCaught(context, late) }
            headTimeout = context.executor().schedule(fail, HEAD_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        stopHeadTimeout()
        inbound.end()
    }

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
        repeat(MAXIMUM_HEADS) {
            val message = receiveMessage()
            val head = message as? HttpResponse
            if (head == null) {
                ReferenceCountUtil.release(message)
                return@repeat
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return@repeat
            noteKeeping(head)
            val echoed = head.headers().get(Headers.REQUEST_ID)
            if (requestId == null || echoed == requestId) return head
            if (echoed == null) throw InvalidResponseException("a response that names no request")
            mayKeep = false
            skipBody()
        }
        throw InvalidResponseException("more than $MAXIMUM_HEADS heads that answer nothing")
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

    /** Reads the rest of the body, up to [limitBytes], and as far as the memory for all responses suffices. */
    suspend fun receiveBody(limitBytes: Int = BODY_LIMIT_BYTES): ByteArray {
        val body = ByteArrayOutputStream()
        try {
            while (true) {
                val content = receiveContent()
                val isLast = content is LastHttpContent
                val bytes = content.content().readableBytes()
                val part = ByteArray(bytes)
                content.content().readBytes(part)
                content.release()
                memory.take(bytes)
                body.write(part)
                if (body.size() > limitBytes) throw InvalidResponseException("response body exceeds $limitBytes bytes")
                if (isLast) return body.toByteArray()
            }
        } finally {
            memory.free(body.size())
        }
    }

    /** Reads the short body of a failure or refusal. */
    suspend fun receiveFailureBody(): ByteArray =
        withTimeoutOrNull(FAILURE_BODY_LIMIT_MILLIS) { receiveBody(FAILURE_BODY_LIMIT_BYTES) }
            ?: throw InvalidResponseException("the body of a failure takes more than $FAILURE_BODY_LIMIT_MILLIS ms")

    /** Reads past the body of a refusal. Returns why that is not possible, or null. */
    suspend fun skipFailureBody(): String? =
        try {
            receiveFailureBody()
            null
        } catch (unreadable: IOException) {
            unreadable.message ?: unreadable.javaClass.simpleName
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
        var skipped = 0
        while (true) {
            val content = receiveContent()
            val isLast = content is LastHttpContent
            skipped += content.content().readableBytes()
            content.release()
            if (isLast) return
            if (skipped > BODY_LIMIT_BYTES) throw InvalidResponseException("a response to another request without end")
        }
    }

    private fun stopHeadTimeout() {
        headTimeout?.cancel(false)
        headTimeout = null
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

        /** Bounds the memory of one buffered response; the store's pages hold about a megabyte. */
        const val BODY_LIMIT_BYTES = 8_388_608

        /** Failures and refusals carry a line of text. */
        const val FAILURE_BODY_LIMIT_BYTES = 262_144

        /** A body follows its head within a round trip; the rest allows for a lost packet. */
        const val FAILURE_BODY_LIMIT_MILLIS = 1_500L

        /** A head arrives in one packet or two; a lost packet is sent again within a second. */
        const val HEAD_LIMIT_MILLIS = 2_000L

        /** Informational responses and late responses to other requests before the one that is awaited. */
        const val MAXIMUM_HEADS = 32
    }
}
