/*
 * A client connection to a backend server or to the platform's store. It carries one exchange at a time. Any error
 * closes the connection; it is reused only if not a single byte was received after the end of the last response.
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
import io.sequoiawheel.core.memory.MemoryAccount
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.UnreadRequests
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

internal class BackendConnection(
    private val channel: Channel,
    private val decoder: ResponseDecoder,
    private val clock: Clock,
    private val memoryBudget: ResponseMemoryBudget,
    number: Int = 0,
) : ChannelInboundHandlerAdapter() {
    private val inbound = InboundQueue()
    private var isExchanging = false
    private var requestWrite: ChannelFuture? = null
    private var idleSinceMillis = clock.nowMillis()
    private var keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS
    private var isPersistent = true
    private var hasDecodedMessage = false
    private var isInResponse = false
    private var isFailed = false
    private var headTimeout: ScheduledFuture<*>? = null
    private val limits = ExchangeLimits()

    /** What the connection has carried, for the log. */
    val trace = ConnectionTrace(number)

    /** Called with each response head, including those that belong to no request of this connection. */
    var onHead: (ResponseHead) -> Unit = {}

    /** The requests that the replica has not read yet, over all connections to it. */
    var unreadRequests = UnreadRequests(clock)

    private val matcher = ResponseMatcher()
    private val end = ResponseEnd()

    /** Whether the response that is being decoded answers the request in progress. */
    private var isOwnResponse = false
    private var sentAtMillis: Long? = null

    /** Whether the request in progress, or the last one, received several responses that state different results. */
    val isContradicted: Boolean get() = matcher.isContradicted || end.foreignStatus.let { it != null && it != status }

    private var framing = Framing.CLOSE
    private var status: Int? = null

    /** Whether the response has a length or chunks; without, it ends with the connection. */
    val isFramed: Boolean get() = framing != Framing.CLOSE

    /** Whether at least one exchange was completed before. */
    var isReused = false
        private set

    val isOpen: Boolean get() = channel.isActive

    /** Time since the last exchange ended, in milliseconds. */
    val idleMillis: Long get() = clock.nowMillis() - idleSinceMillis

    /** Time that the peer keeps an idle connection open, in milliseconds, less a margin for a request in flight. */
    val maximumIdleMillis: Long get() = keepAliveMillis

    override fun handlerAdded(context: ChannelHandlerContext) {
        inbound.attach(context.channel())
        decoder.answersHead = matcher::answersHead
        decoder.onBytes = { bytes ->
            trace.received(bytes)
            end.append(bytes)
        }
        decoder.onEnd = { rest -> if (isOwnResponse) end.reach(rest) }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (isFailed) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpResponse) isOwnResponse = false
        if (message is HttpResponse && message.decoderResult().isSuccess) {
            val unmatched = if (isExchanging) matcher.unmatchedReason(message) else UnmatchedReason.NO_REQUEST
            if (isExchanging && unmatched != null) trace.send?.skip(message, unmatched)
            onHead(ResponseHead(message, sentAtMillis.takeIf { unmatched == null }, unmatched, trace))
            matcher.record(message, unmatched)
            isOwnResponse = unmatched == null && message.status().codeClass() != HttpStatusClass.INFORMATIONAL
        }
        if (!isExchanging) {
            // Data received outside an exchange belongs to no request.
            ReferenceCountUtil.release(message)
            trace.reportUnexpected(UnexpectedBytes.Moment.IDLE)
            abort()
            return
        }
        val excess = limits.exceededBy(message as HttpObject)
        if (excess != null) {
            ReferenceCountUtil.release(message)
            exceptionCaught(context, InvalidResponseException(excess))
            return
        }
        hasDecodedMessage = true
        if (message is HttpResponse) isInResponse = true
        if (message is LastHttpContent) isInResponse = false
        inbound.offer(message)
    }

    /** Starts a timeout for an incomplete response head, so that an endless stream of bytes fails the exchange. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!isExchanging && !decoder.isBetweenResponses) {
            // The beginning of a message belongs to no request either.
            trace.reportUnexpected(UnexpectedBytes.Moment.IDLE)
            abort()
            return
        }
        val isPartialHead = isExchanging && !isInResponse && !hasDecodedMessage
        if (hasDecodedMessage) cancelHeadTimeout()
        hasDecodedMessage = false
        if (isPartialHead && headTimeout == null) {
            val timeout = InvalidResponseException("response head incomplete after $HEAD_TIMEOUT_MILLIS ms")
            val fail = Runnable { exceptionCaught(context, timeout) }
            headTimeout = context.executor().schedule(fail, HEAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        cancelHeadTimeout()
        inbound.close()
        end.close()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        isFailed = true
        inbound.close(cause)
        end.close()
        context.close()
    }

    /**
     * Whether a response to [requestId] on this connection can only belong to the next send: the id was not sent over
     * it before. A response to a request without an id names nothing, so that request needs an unused connection.
     */
    fun mayCarry(requestId: String?): Boolean = if (requestId == null) !isReused else !matcher.wasSent(requestId)

    /**
     * Sends [request]. Returns once it is queued for writing, or throws if the connection is closed. If it is cut off
     * after its first byte, it may have run.
     *
     * @param account the account of the caller, which holds what is received and not yet read, or null
     */
    suspend fun send(
        request: FullHttpRequest,
        account: MemoryAccount? = null,
    ) {
        if (!isOpen) {
            request.release()
            throw ConnectionEndedException("connection closed before the request was sent", isReset = false)
        }
        isExchanging = true
        inbound.charge(account)
        limits.restart()
        end.restart()
        matcher.begin(request)
        val nowMillis = clock.nowMillis().also { sentAtMillis = it }
        trace.begin(matcher.requestId, nowMillis)
        // A reset may be noticed by this write first. What was received by then is not ended by the connection's close.
        val written = RequestWriter(channel, unreadRequests).write(request)
        requestWrite = written.addListener { if (!it.isSuccess) inbound.close(it.cause()) }
        channel.flush()
    }

    /**
     * Returns the head of the response to [requestId], skipping earlier responses to other requests. On a reused
     * connection, a response without an id belongs to an earlier request, and the replica may take as long for the
     * expected one as without it.
     */
    suspend fun receiveHead(requestId: String?): HttpResponse {
        while (true) {
            val message = receiveMessage()
            val head = message as? HttpResponse
            if (head == null) {
                ReferenceCountUtil.release(message)
                continue
            }
            if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) continue
            updateKeepAlive(head)
            val echoedId = matcher.namedRequest(head)
            val isLate = requestId == null && echoedId != null && matcher.wasSent(echoedId)
            if (!isLate && (requestId == null || echoedId == requestId)) {
                trace.send?.take(head, isOwn = requestId != null, clock.nowMillis())
                return head
            }
            if (echoedId == null && !isReused) throw InvalidResponseException("response without a request id")
            isPersistent = false
            skipBody()
        }
    }

    /** Returns the next part of the body; the last one is a [LastHttpContent]. The caller must release it. */
    suspend fun receiveContent(): HttpContent {
        val message = receiveMessage()
        val content = message as? HttpContent
        if (content == null) {
            ReferenceCountUtil.release(message)
            throw InvalidResponseException("a response started within the body of another")
        }
        if (content is LastHttpContent && !isFramed && inbound.failure != null) {
            content.release()
            throw ConnectionEndedException("connection was reset within the response", isReset = true)
        }
        return content
    }

    /**
     * Reads the rest of the body. Throws if it exceeds [limitBytes] or the memory budget of all responses, or if it was
     * filled up by another response. The caller releases [reservation] when the body is no longer needed.
     *
     * @param deadlineMillis when the body is of no use any more; what decides whether it is whole is awaited for half
     *   of the time until then at most
     */
    suspend fun receiveBody(
        reservation: ResponseReservation,
        limitBytes: Int = BODY_LIMIT_BYTES,
        deadlineMillis: Long = Long.MAX_VALUE,
    ): ByteArray {
        val received = ByteArrayOutputStream()
        while (true) {
            val content = receiveContent()
            val isLast = content is LastHttpContent
            val previousBytes = received.size()
            content.content().readBytes(received, content.content().readableBytes())
            content.release()
            reservation.grow(memoryBudget, previousBytes, received.size())
            if (received.size() > limitBytes) throw ResponseTooLargeException(limitBytes)
            if (isLast) break
        }
        val body = received.toByteArray()
        if (end.isWhole(body, framing, (deadlineMillis - clock.nowMillis()) / 2)) return body
        throw InvalidResponseException("another response within the body")
    }

    private fun hasReceivedAll() = !inbound.hasUnread && decoder.isBetweenResponses

    /** Reads the rest of a body that is processed at once. */
    suspend fun receiveBody(limitBytes: Int = BODY_LIMIT_BYTES): ByteArray {
        val reservation = ResponseReservation(account = null)
        return try {
            receiveBody(reservation, limitBytes)
        } finally {
            reservation.release()
        }
    }

    /** Reads the body of an error response, which is short. */
    suspend fun receiveErrorBody(): ByteArray =
        withTimeoutOrNull(ERROR_BODY_TIMEOUT_MILLIS) { receiveBody(ERROR_BODY_LIMIT_BYTES) }
            ?: throw InvalidResponseException("error body incomplete after $ERROR_BODY_TIMEOUT_MILLIS ms")

    /** Skips the body of an error response. Returns null, or the reason why the body could not be read. */
    suspend fun skipErrorBody(): String? =
        try {
            receiveErrorBody()
            null
        } catch (unreadable: IOException) {
            unreadable.message ?: unreadable.javaClass.simpleName
        }

    /** Ends a complete exchange. Returns whether the connection can carry another one; if not, it is closed. */
    fun complete(): Boolean {
        isExchanging = false
        inbound.endCharge()
        trace.end()
        isReused = true
        idleSinceMillis = clock.nowMillis()
        // Data after the response belongs to no request and would be mistaken for the next response.
        val hasReceivedAll = hasReceivedAll()
        val reusable = isPersistent && isOpen && requestWrite?.isSuccess == true && hasReceivedAll
        if (!hasReceivedAll && isOpen) trace.reportUnexpected(UnexpectedBytes.Moment.BEHIND_RESPONSE)
        if (!reusable) close()
        return reusable
    }

    /** Closes the connection after a complete exchange. */
    fun close() {
        inbound.discard()
        channel.close()
    }

    /** Resets the connection at once, even within an exchange. */
    fun abort() {
        inbound.discard()
        channel.reset()
    }

    private suspend fun receiveMessage(): HttpObject {
        val message = inbound.receive()
        if (message.decoderResult().isFailure) {
            val cause = message.decoderResult().cause()
            ReferenceCountUtil.release(message)
            throw InvalidResponseException("malformed response: ${cause?.message}")
        }
        return message
    }

    private suspend fun skipBody() {
        val skipped = SkippedBody()
        do {
            val content = receiveContent()
            try {
                skipped.skip(content)
            } finally {
                content.release()
            }
        } while (content !is LastHttpContent)
    }

    private fun cancelHeadTimeout() {
        headTimeout?.cancel(false)
        headTimeout = null
    }

    private fun updateKeepAlive(head: HttpResponse) {
        val headers = head.headers()
        status = head.status().code()
        framing =
            when {
                HttpUtil.isTransferEncodingChunked(head) -> Framing.CHUNKS
                HttpUtil.isContentLengthSet(head) -> Framing.LENGTH
                else -> Framing.CLOSE
            }
        isPersistent = isPersistent && isFramed && HttpUtil.isKeepAlive(head)
        val seconds =
            headers
                .get(KEEP_ALIVE_HEADER)
                ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull()
        keepAliveMillis =
            if (seconds == null) DEFAULT_KEEP_ALIVE_MILLIS else seconds * MILLIS_PER_SECOND - KEEP_ALIVE_MARGIN_MILLIS
        headers.remove(HttpHeaderNames.KEEP_ALIVE)
    }

    companion object {
        /** Limits the memory of one buffered response; a page of a store listing takes about a megabyte. */
        const val BODY_LIMIT_BYTES = 8_388_608

        private const val KEEP_ALIVE_HEADER = "Keep-Alive"
        private val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")
        private const val MILLIS_PER_SECOND = 1_000L

        /** Used for peers that state no timeout, since they may close an idle connection in less than a second. */
        private const val DEFAULT_KEEP_ALIVE_MILLIS = 400L

        /** A request must arrive before the peer's timeout expires; the timeout is stated in whole seconds. */
        private const val KEEP_ALIVE_MARGIN_MILLIS = 300L

        /** Error responses carry one line of text. */
        private const val ERROR_BODY_LIMIT_BYTES = 262_144

        /** A body follows its head within one round trip; the rest allows for a lost packet. */
        private const val ERROR_BODY_TIMEOUT_MILLIS = 1_500L

        /** A head arrives in one or two packets; a lost packet is retransmitted within a second. */
        private const val HEAD_TIMEOUT_MILLIS = 2_000L
    }
}
