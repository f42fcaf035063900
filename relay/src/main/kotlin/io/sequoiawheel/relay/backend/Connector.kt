package io.sequoiawheel.relay.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Endpoint
import jdk.net.ExtendedSocketOptions
import java.io.IOException

/** No connection could be opened, so nothing was sent. */
internal class ConnectFailedException(
    endpoint: Endpoint,
    cause: IOException,
) : IOException("cannot connect to $endpoint: ${cause.message}", cause)

/** Opens connections from one event loop. Silent peers are found by keep-alive probes of the transport. */
internal class Connector(
    eventLoop: EventLoop,
    private val clock: Clock,
) {
    private val memory = ResponseMemory()
    private val bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(HttpClientCodec())
                        channel.pipeline().addLast(BackendConnection(channel, clock, memory))
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
        } finally {
            if (!future.isDone) future.cancel(true)
        }
        return future.channel().pipeline().get(BackendConnection::class.java)
    }

    private companion object {
        /** Round trips take a few milliseconds; a lost opening packet is sent again after a second. */
        const val CONNECT_TIMEOUT_MILLIS = 700

        /** A silent connection is found after idle time + interval x probes, about the time that counts as contact. */
        const val KEEP_ALIVE_IDLE_SECONDS = 1
        const val KEEP_ALIVE_INTERVAL_SECONDS = 1
        const val KEEP_ALIVE_PROBES = 2
    }
}
