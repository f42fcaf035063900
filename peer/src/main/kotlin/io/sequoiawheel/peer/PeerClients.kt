package io.sequoiawheel.peer

import io.grpc.ManagedChannel
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.sequoiawheel.peer.generated.PeerGrpcKt
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Connections to other entry instances, one for each address. Thread-safe. */
class PeerClients : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Returns the stub for [address], `host:port`; its calls fail with `StatusException` after [timeoutMillis]. */
    fun stub(
        address: String,
        timeoutMillis: Long,
    ): PeerGrpcKt.PeerCoroutineStub {
        val channel = channels.computeIfAbsent(address, ::open)
        return PeerGrpcKt.PeerCoroutineStub(channel).withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
    }

    /** Closes the connections to addresses other than [addresses]. */
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
