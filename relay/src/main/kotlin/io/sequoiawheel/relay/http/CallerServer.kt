package io.sequoiawheel.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.relay.backend.ResponseMemory
import io.sequoiawheel.relay.backend.awaitDone
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.CoroutineScope

/** Accepts connections of callers on one event loop. */
internal class CallerServer(
    private val eventLoop: EventLoop,
    private val scope: CoroutineScope,
    private val service: CallerService,
    private val connections: CallerConnections =
        CallerConnections(service.clock, ResponseMemory(service.clock)),
) {
    private var listener: Channel? = null

    /**
     * What is read at once is decoded at once, into messages that may occupy many times as much memory, and before any
     * other connection is served.
     */
    private val receiveBuffers =
        AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
            .maxMessagesPerRead(READS_IN_SUCCESSION)

    /** Number of open connections. */
    val connectionCount: Int get() = connections.count

    /** Whether [close] was called. */
    val isClosing: Boolean get() = connections.isClosing

    /** Starts to listen on [endpoint] and returns the bound port. */
    suspend fun start(
        endpoint: Endpoint,
        maximumHeaderBytes: Int,
    ): Int {
        val bootstrap =
            ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1))
                .option(ChannelOption.SO_RCVBUF, connections.limits.receiveBytes)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_IDLE_SECONDS)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(
                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                    WriteBufferWaterMark(LOW_WATER_MARK, HIGH_WATER_MARK),
                ).childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(CallerRequestDecoder(maximumHeaderBytes))
                            channel.pipeline().addLast(HttpResponseEncoder())
                            channel.pipeline().addLast(CallerConnection(channel, service, scope, connections))
                        }
                    },
                )
        val bound = bootstrap.bind(endpoint.host, endpoint.port)
        bound.awaitDone()
        listener = bound.channel()
        connections.limitAccepting(bound.channel())
        return (bound.channel().localAddress() as java.net.InetSocketAddress).port
    }

    /** Stops accepting connections, and lets each open one end as soon as no request is left on it. */
    fun close() {
        listener?.close()
        connections.close()
    }

    private companion object {
        const val MINIMUM_READ_BYTES = 512
        const val INITIAL_READ_BYTES = 2_048
        const val MAXIMUM_READ_BYTES = 16_384
        const val READS_IN_SUCCESSION = 1

        /** Connections that may be pending while the processor is busy. */
        const val BACKLOG = 512

        /** Callers that disappear without closing their connection are detected within about ten seconds. */
        const val KEEP_ALIVE_IDLE_SECONDS = 3
        const val KEEP_ALIVE_PROBES = 2

        /** Bytes buffered for a slow caller at which the replica's stream pauses, and at which it resumes. */
        const val HIGH_WATER_MARK = 262_144
        const val LOW_WATER_MARK = 212_992

        /**
         * By default the system buffers up to several megabytes for a caller that does not read. This is enough for
         * 140 Mbit/s at round trips of up to 7 ms.
         */
        const val SEND_BUFFER_BYTES = 131_072
    }
}
