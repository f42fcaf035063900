package io.sequoiawheel.peer

import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.sequoiawheel.peer.generated.PeerGrpcKt
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * The gRPC server of one entry instance.
 *
 * @param requestedPort the port to bind, or 0 for any free one
 */
class PeerServer(
    private val host: String,
    private val requestedPort: Int,
    private val service: PeerGrpcKt.PeerCoroutineImplBase,
) : AutoCloseable {
    private var server: Server? = null

    /** The bound port; valid after [start]. */
    val port: Int get() = server?.port ?: requestedPort

    /** Binds the address; throws `IOException` if it cannot. */
    fun start() {
        server =
            NettyServerBuilder
                .forAddress(InetSocketAddress(host, requestedPort))
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .addService(service)
                .build()
                .start()
    }

    /** Ends all connections. */
    override fun close() {
        server?.shutdownNow()?.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
    }

    internal companion object {
        // A new instance receives every accepted document at once: 100 services of the object API's 1 MB at most.
        const val MAXIMUM_MESSAGE_BYTES = 104_857_600
        const val CLOSE_SECONDS = 2L
    }
}
