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
import io.netty.handler.codec.http.DefaultHttpContent
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

    /** Called for a caller that is refused before its request was read completely. */
    fun onRefused(reason: RefusalReason) = Unit

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

internal class CallerConnection(
    private val channel: Channel,
    private val service: CallerService,
    private val scope: CoroutineScope,
    private val connections: CallerConnections,
) : ChannelInboundHandlerAdapter() {
    private val inbound = InboundQueue(PAUSE_BYTES, CallerMemoryCost::of)
    private val account = CallerAccount(connections.memory) { refuse(RefusalReason.MEMORY) }
    private val reader =
        CallerRequestReader(inbound, service, connections, account) { write(CallerResponse.continueResponse()) }
    private val decoder: CallerRequestDecoder? by lazy { channel.pipeline().get(CallerRequestDecoder::class.java) }
    private var job: Job? = null
    private var activeMillis = service.clock.nowMillis()
    private var servedRequests = 0
    private val writer = ResponseWriter(channel, connections.responseMemory)
    private var isAborted = false
    private var isEnding = false

    /** The accounts of what is held of responses that the caller has not read. */
    val accounts: CallerAccounts get() = writer.accounts

    init {
        channel.closeFuture().addListener { writer.end() }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        inbound.attach(context.channel())
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = account.close()

    override fun channelActive(context: ChannelHandlerContext) {
        connections.add(this)
        job = scope.launch { serveAll() }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpRequest || message is LastHttpContent) decoder?.onHeadersDecoded()
        inbound.offer(message as HttpObject)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        countReceived()
        context.fireChannelReadComplete()
    }

    /** Accounts for what was received and is not read yet, and refuses the caller if there is no memory for it. */
    private fun countReceived() {
        val undecodedBytes = decoder?.undecodedBytes ?: 0
        if (account.recordReceived(decoder?.receivedBytes ?: 0)) activeMillis = service.clock.nowMillis()
        if (undecodedBytes > 0 && !account.isServing) reader.onPartialHead()
        val pausedBytes = if (account.isServing && inbound.isPaused) connections.limits.receiveBytes else 0
        if (account.tryHoldUnread(undecodedBytes + inbound.queuedBytes + pausedBytes)) return
        refuse(if (account.isServing) RefusalReason.PIPELINED else RefusalReason.MEMORY)
    }

    /** Refuses the request that is being read. What is queued behind a request that is served resets the connection. */
    private fun refuse(reason: RefusalReason) {
        if (account.isServing) {
            service.onRefused(reason)
            inbound.discard()
            channel.reset()
        } else {
            reader.refuse(reason)
        }
    }

    /**
     * Returns for how long the connection has been idle, or has been reading one request, if it may be closed for a new
     * one; otherwise null. The connection of a caller that reuses it in time is not closed.
     */
    fun idleMillis(nowMillis: Long): Long? {
        val readingSinceMillis = reader.readingSinceMillis
        val idle = nowMillis - (readingSinceMillis ?: activeMillis)
        val isClosable =
            when {
                account.isServing -> false
                readingSinceMillis != null -> idle >= READING_MILLIS
                isEnding -> true
                servedRequests == 0 -> idle >= FIRST_REQUEST_MILLIS
                else -> idle > service.limits.idleTimeoutMillis * REUSE_SHARE
            }
        return idle.takeIf { isClosable }
    }

    /** Closes the connection, which is idle or has answered its last request, for the benefit of a new one. */
    fun closeForNewcomer() {
        if (!isEnding) service.onRefused(RefusalReason.CONNECTIONS)
        channel.close()
    }

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
                val head = reader.receiveHead()
                if (head == null) {
                    // A request that is on its way can be repeated elsewhere.
                    channel.config().isAutoRead = false
                    break
                }
                // Answers to pipelined requests must not gather behind one that is not read.
                isKeptOpen = serve(head) && awaitProgress()
            }
            if (awaitSent() && !isKeptOpen) closeGracefully()
        } catch (refused: CallerRefusedException) {
            sendRefusal(CallerResponse(this, keepsConnection = false) { service.isLeaving }, refused.reason)
            closeGracefully()
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
                reader.readRequest(head)
            } catch (unreadable: UnreadableRequestException) {
                service.onRejected(unreadable.code, unreadable.message.orEmpty())
                response.closeWhenComplete()
                response.sendError(unreadable.status, unreadable.code, unreadable.message.orEmpty())
                return false
            }
        countReceived()
        account.isServing = true
        try {
            service.serve(request, response)
        } catch (failure: Exception) {
            if (!response.isComplete) service.onUnanswered(reasonOf(failure), failure)
            throw failure
        } finally {
            account.isServing = false
            account.releaseRequest()
            servedRequests++
            activeMillis = service.clock.nowMillis()
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

    /** Ends the connection unless a request is in progress or was already read; then it ends after that request. */
    fun endWhenIdle() = inbound.wake()

    private suspend fun sendRefusal(
        response: CallerResponse,
        reason: RefusalReason,
    ) {
        service.onRefused(reason)
        account.close()
        val retryMillis = RETRY_MILLIS.takeIf { reason.status == HttpResponseStatus.SERVICE_UNAVAILABLE }
        response.sendError(reason.status, reason.code, reason.detail, retryMillis)
    }

    /** Closes after the caller read the last response: closing with unread input would reset the connection. */
    private suspend fun closeGracefully() {
        isEnding = true
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
        /** Memory of queued messages above which reading pauses; what one read decodes comes on top. */
        const val PAUSE_BYTES = 16_384

        /**
         * A request that takes longer to arrive is closed for a new connection at the limit. An ordinary one
         * arrives in a few round trips, so that its caller is served beside a crowd of slow ones.
         */
        const val READING_MILLIS = 1_000L

        /**
         * Time for the first request of a new connection to arrive, which allows for one lost packet. Connections that
         * wait in the backlog would otherwise replace each other before any of them is read.
         */
        const val FIRST_REQUEST_MILLIS = 500L

        /** Callers reuse connections that were idle for up to this share of the idle timeout. */
        const val REUSE_SHARE = 0.8

        /** Another instance has capacity at once; this one after a stalled body was closed. */
        const val RETRY_MILLIS = 1_000L

        /** Time that the caller has to close its side after the last response. */
        const val CLOSE_TIMEOUT_MILLIS = 500L
    }
}
