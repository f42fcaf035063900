package io.sequoiawheel.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
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

/** The response to a status request. */
internal class StatusResponse(
    val status: HttpResponseStatus,
    val text: String = "",
)

/**
 * Serves requests of the platform and of other instances on ports separate from those of the callers: readiness,
 * metrics and watches. [handler] maps a request target to a response.
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

        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            val target = request.uri()
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            val previous = lastJob
            lastJob =
                scope.launch {
                    previous?.join()
                    respond(context, handler(target), isKeepAlive)
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

        private fun respond(
            context: ChannelHandlerContext,
            result: StatusResponse,
            isKeepAlive: Boolean,
        ) {
            val body = Unpooled.wrappedBuffer(result.text.toByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, body)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            val sent = context.writeAndFlush(response)
            if (!isKeepAlive) sent.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        /** Status requests have no body, or a very small one. */
        const val MAXIMUM_REQUEST_BYTES = 4_096
    }
}
