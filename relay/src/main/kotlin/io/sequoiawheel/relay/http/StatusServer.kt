package io.sequoiawheel.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.relay.backend.awaitDone
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** The response to a status request. [body] consists of consecutive parts, which several responses may share. */
internal class StatusResponse(
    val status: HttpResponseStatus,
    val body: List<ByteArray> = emptyList(),
) {
    constructor(status: HttpResponseStatus, text: String) : this(status, listOf(text.toByteArray()))
}

/**
 * Serves requests of the platform and of other instances on ports separate from those of the callers: readiness,
 * metrics and watches. [handler] maps a request target to a response. A response is written in slices, as fast as the
 * client reads them, so that slow clients occupy no more than a slice each beside the shared body.
 */
internal class StatusServer(
    private val eventLoop: EventLoop,
    private val scope: CoroutineScope,
    private val handler: suspend (String) -> StatusResponse,
) {
    /** Starts to listen on [endpoint]. */
    suspend fun start(endpoint: Endpoint) {
        ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpServerCodec())
                        channel.pipeline().addLast(HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                        channel.pipeline().addLast(RequestHandler())
                    }
                },
            ).bind(endpoint.host, endpoint.port)
            .awaitDone()
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        private var lastJob: Job? = null
        private var pendingRequests = 0

        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            val target = request.uri()
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            if (++pendingRequests > MAXIMUM_PENDING_REQUESTS) {
                context.close()
                return
            }
            val previous = lastJob
            lastJob =
                scope.launch {
                    previous?.join()
                    respond(context, handler(target), isKeepAlive)
                    pendingRequests--
                }
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            // The client reset its connection or sent a malformed request; it can retry on another connection.
            context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            lastJob?.cancel()
            context.fireChannelInactive()
        }

        private suspend fun respond(
            context: ChannelHandlerContext,
            result: StatusResponse,
            isKeepAlive: Boolean,
        ) {
            val isSent =
                try {
                    withTimeoutOrNull(SEND_TIMEOUT_MILLIS) { send(context, result) } != null
                } catch (closed: IOException) {
                    // The client closed its connection.
                    false
                }
            if (!isSent || !isKeepAlive) context.close()
        }

        private suspend fun send(
            context: ChannelHandlerContext,
            result: StatusResponse,
        ) {
            val body = Unpooled.wrappedBuffer(*result.body.toTypedArray())
            val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, result.status)
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            context.write(head)
            try {
                while (body.readableBytes() > SLICE_BYTES) {
                    context.writeAndFlush(DefaultHttpContent(body.readRetainedSlice(SLICE_BYTES))).awaitDone()
                }
                context.writeAndFlush(DefaultLastHttpContent(body.retainedSlice())).awaitDone()
            } finally {
                body.release()
            }
        }
    }

    private companion object {
        /** Status requests have no body, or a very small one. */
        const val MAXIMUM_REQUEST_BYTES = 4_096

        /** Clients wait for a response before they send the next request. */
        const val MAXIMUM_PENDING_REQUESTS = 16

        /** Bytes of a response that are handed to the socket at a time. */
        const val SLICE_BYTES = 65_536

        /** Watches are given up by their clients sooner; this ends the responses to clients that do not read. */
        const val SEND_TIMEOUT_MILLIS = 5_000L
    }
}
