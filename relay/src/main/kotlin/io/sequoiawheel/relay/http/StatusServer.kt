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

/** The response to one question about the instance: a status and a text. */
internal class StatusAnswer(
    val status: HttpResponseStatus,
    val text: String = "",
)

/** Answers questions about the instance on addresses of their own; [answer] maps a request target to a response. */
internal class StatusServer(
    private val eventLoop: EventLoop,
    private val scope: CoroutineScope,
    private val answer: suspend (String) -> StatusAnswer,
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
                        channel.pipeline().addLast(Responder())
                    }
                },
            ).bind(endpoint.host, endpoint.port)
            .awaitDone()
    }

    private inner class Responder : SimpleChannelInboundHandler<FullHttpRequest>() {
        private var last: Job? = null

        override fun channelRead0(
            context: ChannelHandlerContext,
            request: FullHttpRequest,
        ) {
            val target = request.uri()
            val isKeptAlive = HttpUtil.isKeepAlive(request)
            val previous = last
            last =
                scope.launch {
                    previous?.join()
                    respond(context, answer(target), isKeptAlive)
                }
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            // The asker reset its connection, or sent what is no request; it asks again on another one.
            context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            last?.cancel()
            context.fireChannelInactive()
        }

        private fun respond(
            context: ChannelHandlerContext,
            result: StatusAnswer,
            isKeptAlive: Boolean,
        ) {
            val body = Unpooled.wrappedBuffer(result.text.toByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, body)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            val sent = context.writeAndFlush(response)
            if (!isKeptAlive) sent.addListener(ChannelFutureListener.CLOSE)
        }
    }

    private companion object {
        /** Questions carry no body to speak of. */
        const val MAXIMUM_REQUEST_BYTES = 4_096
    }
}
