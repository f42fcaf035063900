/*
 * A caller's connection. One coroutine reads and serves its requests one after the other. It is cancelled when the
 * caller closes the connection, which also cancels the work at the replica.
 */
package io.sequoiawheel.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.relay.backend.CallerAccounts
import io.sequoiawheel.relay.backend.ConnectionEndedException
import io.sequoiawheel.relay.backend.InboundQueue
import io.sequoiawheel.relay.backend.reset
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Serves the requests of caller connections. */
internal interface CallerService {
    val clock: Clock

    /** Limits on the requests of callers. */
    val limits: ConnectionLimits

    /** Whether the instance is shutting down, so that connections are closed after their current request. */
    val isLeaving: Boolean

    /** Serves one request and writes the result to [response]. */
    suspend fun serve(
        request: CallerRequest,
        response: CallerResponse,
    )

    /** Called for a request that is rejected because it could not be read. */
    fun onRejected(
        code: ResultCode,
        detail: String,
    )

    /** Called for a request that was read and ended without a complete response. */
    fun onUnanswered(
        reason: UnansweredReason,
        cause: Throwable? = null,
    )
}

/** Limits on the body size, and on the time in milliseconds that a caller may take for a head or stay idle. */
internal data class ConnectionLimits(
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** Thrown for a request that is rejected while it is being read. */
private class UnreadableRequestException(
    val code: ResultCode,
    val status: HttpResponseStatus,
    message: String,
) : IOException(message)

internal class CallerConnection(
    private val channel: Channel,
    private val service: CallerService,
    private val scope: CoroutineScope,
    private val connections: CallerConnections,
) : ChannelInboundHandlerAdapter() {
    private val inbound = InboundQueue()
    private var job: Job? = null
    private val writer = ResponseWriter(channel, connections.responseMemory)
    private var isAborted = false

    /** The accounts of what is held of responses that the caller has not read. */
    val accounts: CallerAccounts get() = writer.accounts

    init {
        channel.closeFuture().addListener { writer.end() }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        inbound.attach(context.channel())
    }

    override fun channelActive(context: ChannelHandlerContext) {
        connections.add(this)
        job = scope.launch { serveAll() }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) = inbound.offer(message as HttpObject)

    override fun channelInactive(context: ChannelHandlerContext) {
        connections.remove(this)
        inbound.close()
        job?.cancel(CancellationException("caller closed the connection"))
        writer.wake()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        writer.wake()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        inbound.close(cause)
        context.close()
    }

    /** Waits until the write buffer of a slow caller has room again. */
    suspend fun awaitWritable() = writer.awaitRoom()

    /** Waits like [awaitWritable]. Closes the connection and returns false if the caller reads too little. */
    suspend fun awaitProgress(): Boolean = writer.awaitProgress()

    /** Waits like [awaitProgress] until everything was sent. */
    suspend fun awaitSent(): Boolean = writer.awaitSent()

    fun write(message: Any) = writer.write(message)

    private suspend fun serveAll() {
        try {
            var isKeptOpen = true
            while (isKeptOpen) {
                val head = receiveHead() ?: break
                // Answers to pipelined requests must not gather behind one that is not read.
                isKeptOpen = serve(head) && awaitProgress()
            }
            if (awaitSent() && !isKeptOpen) closeGracefully()
        } catch (failure: IOException) {
            channel.close()
        } catch (failure: Error) {
            service.onUnanswered(UnansweredReason.FAILED, failure)
            channel.reset()
        } finally {
            inbound.discard()
            channel.close()
        }
    }

    /** Serves the request with this [head]. Returns whether the connection stays open. */
    private suspend fun serve(head: HttpRequest): Boolean {
        val response = CallerResponse(this, HttpUtil.isKeepAlive(head) && !service.isLeaving) { service.isLeaving }
        val request =
            try {
                readRequest(head)
            } catch (unreadable: UnreadableRequestException) {
                service.onRejected(unreadable.code, unreadable.message.orEmpty())
                response.closeWhenComplete()
                response.sendError(unreadable.status, unreadable.code, unreadable.message.orEmpty())
                return false
            }
        try {
            service.serve(request, response)
        } catch (failure: Exception) {
            if (!response.isComplete) service.onUnanswered(reasonOf(failure), failure)
            throw failure
        }
        if (!response.isComplete) {
            service.onUnanswered(UnansweredReason.ABORTED)
            channel.reset()
            return false
        }
        return response.keepsConnection
    }

    private fun reasonOf(failure: Exception): UnansweredReason =
        when {
            isAborted -> UnansweredReason.ABORTED
            failure is CancellationException -> UnansweredReason.CALLER_CLOSED
            else -> UnansweredReason.FAILED
        }

    /**
     * Returns the head of the next request, or null if the connection should end because it is idle. Reading stops in
     * the latter case, so that a request that is on its way can be repeated elsewhere. The timeout covers only the
     * wait, since cancelling a receipt may lose the message.
     */
    private suspend fun receiveHead(): HttpRequest? {
        while (true) {
            if (!connections.isClosing) {
                withTimeoutOrNull(service.limits.idleTimeoutMillis) { inbound.awaitMessage() }
            }
            if (inbound.isIdle) {
                channel.config().isAutoRead = false
                return null
            }
            val message = inbound.receive()
            if (message is HttpRequest) return message
            ReferenceCountUtil.release(message)
        }
    }

    /** Ends the connection unless a request is in progress or was already read; then it ends after that request. */
    fun endWhenIdle() = inbound.wake()

    private suspend fun readRequest(head: HttpRequest): CallerRequest {
        val receivedAtMillis = service.clock.nowMillis()
        rejectMalformed(head)
        val limits = service.limits
        if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes) throw bodyTooLarge(limits)
        if (HttpUtil.is100ContinueExpected(head)) write(CallerResponse.continueResponse())
        val body = ByteArrayOutputStream()
        while (true) {
            val message = inbound.receive()
            val content = message as? HttpContent ?: throw malformed("a request started within the body of another")
            if (content.decoderResult().isFailure) {
                content.release()
                throw malformed("malformed body")
            }
            val isLast = content is LastHttpContent
            content.content().readBytes(body, content.content().readableBytes())
            content.release()
            if (body.size() > limits.bodyBytes) throw bodyTooLarge(limits)
            if (isLast) break
        }
        return CallerRequest(
            head.method(),
            head.uri(),
            head.headers(),
            body.toByteArray(),
            receivedAtMillis,
            HttpUtil.isKeepAlive(head),
        )
    }

    private fun rejectMalformed(head: HttpRequest) {
        if (head.decoderResult().isFailure) throw undecodable(head.decoderResult().cause())
        val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isEncodingKnown = encodings.all { it.trim().equals("chunked", ignoreCase = true) } && encodings.size <= 1
        val detail =
            when {
                !isEncodingKnown -> "unsupported transfer encoding"
                head.headers().getAll(HttpHeaderNames.HOST).size != 1 -> "exactly one Host header is required"
                !head.uri().startsWith("/") -> "the request target is not a path"
                else -> return
            }
        throw malformed(detail)
    }

    private fun undecodable(cause: Throwable?): UnreadableRequestException {
        if (cause !is TooLongFrameException) return malformed("malformed head: ${cause?.message}")
        return UnreadableRequestException(
            ResultCode.BODY_TOO_LARGE,
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request head is too large",
        )
    }

    private fun malformed(detail: String) =
        UnreadableRequestException(ResultCode.INVALID_REQUEST, HttpResponseStatus.BAD_REQUEST, detail)

    private fun bodyTooLarge(limits: ConnectionLimits) =
        UnreadableRequestException(
            ResultCode.BODY_TOO_LARGE,
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            "the body exceeds ${limits.bodyBytes} bytes",
        )

    /** Closes after the caller read the last response: closing with unread input would reset the connection. */
    private suspend fun closeGracefully() {
        (channel as? SocketChannel)?.shutdownOutput()
        withTimeoutOrNull(CLOSE_TIMEOUT_MILLIS) {
            try {
                while (true) ReferenceCountUtil.release(inbound.receive())
            } catch (ended: ConnectionEndedException) {
                channel.close()
            }
        }
    }

    internal fun writeContent(bytes: ByteArray) = write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))

    internal fun abort() {
        isAborted = true
        channel.reset()
    }

    private companion object {
        /** Time that the caller has to close its side after the last response. */
        const val CLOSE_TIMEOUT_MILLIS = 500L
    }
}
