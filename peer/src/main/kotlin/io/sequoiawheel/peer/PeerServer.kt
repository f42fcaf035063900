package io.sequoiawheel.peer

import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.sequoiawheel.peer.generated.PeerGrpcKt
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * The gRPC server on which an entry instance accepts calls of its peers.
 *
 * @param requestedPort port to bind, or 0 for an ephemeral port
 */
class PeerServer(
    private val host: String,
    private val requestedPort: Int,
    private val service: PeerGrpcKt.PeerCoroutineImplBase,
) : AutoCloseable {
    private var server: Server? = null

    /** The bound port; valid after [start]. */
    val port: Int get() = server?.port ?: requestedPort

    /** Binds the address and starts serving; throws `IOException` if the address cannot be bound. */
    fun start() {
        server =
            NettyServerBuilder
                .forAddress(InetSocketAddress(host, requestedPort))
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .addService(service)
                .build()
                .start()
    }

    /** Aborts all calls and waits up to [CLOSE_SECONDS] for the server to terminate. */
    override fun close() {
        server?.shutdownNow()?.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
    }

    internal companion object {
        // A new instance receives all accepted documents in one message: up to 100 services of at most 1 MB each, which
        // is the limit of the object API.
        const val MAXIMUM_MESSAGE_BYTES = 104_857_600
        const val CLOSE_SECONDS = 2L
    }
}
