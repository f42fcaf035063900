package io.sequoiawheel.relay.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Endpoint
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.CancellationException
import java.io.IOException

/** Thrown when no connection could be opened, so that no part of the request was sent. */
internal class ConnectFailedException(
    endpoint: Endpoint,
    cause: IOException,
) : IOException("cannot connect to $endpoint: ${cause.message}", cause)

/** Opens connections on one event loop. TCP keep-alive probes detect unresponsive peers. */
internal class Connector(
    eventLoop: EventLoop,
    private val clock: Clock,
) {
    private val memoryBudget = ResponseMemoryBudget()
    private var connections = 0

    /**
     * What is read at once is decoded at once, into messages that may occupy many times as much memory, and before any
     * other connection is served.
     */
    private val receiveBuffers =
        AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
            .maxMessagesPerRead(READS_IN_SUCCESSION)
    private val bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers)
            .option(ChannelOption.SO_RCVBUF, InboundQueue.RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        val decoder = ResponseDecoder()
                        val connection = BackendConnection(channel, decoder, clock, memoryBudget, ++connections)
                        channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
                    }
                },
            )

    /** Opens a connection, or throws [ConnectFailedException]. */
    suspend fun connect(endpoint: Endpoint): BackendConnection {
        val future = bootstrap.connect(endpoint.host, endpoint.port)
        try {
            future.awaitDone()
        } catch (failure: IOException) {
            throw ConnectFailedException(endpoint, failure)
        } catch (cancelled: CancellationException) {
            // The connection may have been established in the meantime; it would hold a place at the peer.
            if (!future.cancel(true)) future.channel().close()
            throw cancelled
        }
        // A connection that the peer has reset by now has no handlers left.
        return future.channel().pipeline().get(BackendConnection::class.java)
            ?: throw ConnectFailedException(endpoint, IOException("connection closed at once"))
    }

    private companion object {
        /**
         * By default the system buffers up to several megabytes of requests that the replica does not read. This is
         * enough for 140 Mbit/s at round trips of up to 7 ms.
         */
        const val SEND_BUFFER_BYTES = 131_072
        const val MINIMUM_READ_BYTES = 512
        const val INITIAL_READ_BYTES = 2_048
        const val MAXIMUM_READ_BYTES = 8_192
        const val READS_IN_SUCCESSION = 1

        /** A round trip takes a few milliseconds; a lost SYN would be retransmitted only after a second. */
        const val CONNECT_TIMEOUT_MILLIS = 700

        /**
         * An unresponsive connection is detected after idle time + interval x probes, which is about the contact bound
         * of the settings.
         */
        const val KEEP_ALIVE_IDLE_SECONDS = 1
        const val KEEP_ALIVE_INTERVAL_SECONDS = 1
        const val KEEP_ALIVE_PROBES = 2
    }
}
