package io.sequoiawheel.peer

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.sequoiawheel.peer.generated.PeerGrpcKt
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Maintains one gRPC channel per address of another entry instance. Thread-safe. */
class PeerClients : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns a stub for [address], `host:port`, whose calls fail with `StatusException` after [timeoutMillis]. */
    fun stub(
        address: String,
        timeoutMillis: Long,
    ): PeerGrpcKt.PeerCoroutineStub {
        val channel = channels.computeIfAbsent(address, ::open)
        return PeerGrpcKt.PeerCoroutineStub(channel).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
    }

    /** Shuts down the channels to all addresses that are not in [addresses]. */
    fun retain(addresses: Set<String>) {
        (channels.keys - addresses).forEach { address -> channels.remove(address)?.shutdown() }
    }

    override fun close() = channels.values.forEach { it.shutdownNow() }

    private fun open(address: String): ManagedChannel =
        NettyChannelBuilder
            .forTarget(address)
            .usePlaintext()
            .maxInboundMessageSize(PeerServer.MAXIMUM_MESSAGE_BYTES)
            .build()
}
