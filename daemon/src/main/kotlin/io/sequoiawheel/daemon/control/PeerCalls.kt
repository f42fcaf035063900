package io.sequoiawheel.daemon.control

import io.grpc.StatusException
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.peer.PeerClients
import io.sequoiawheel.peer.generated.PeerGrpcKt

/**
 * Calls to other entry instances. A call that fails with a gRPC status returns null; the periodic comparison repairs
 * what was lost.
 */
internal class PeerCalls(
    private val clients: PeerClients,
) {
    /** Runs [block] on the stub of [peer]; returns null if the call fails or [peer] has no peer address. */
    suspend fun <T> call(
        peer: Instance,
        timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
        block: suspend PeerGrpcKt.PeerCoroutineStub.() -> T,
    ): T? {
        val address = peer.peerAddress ?: return null
        return try {
            clients.stub(address, timeoutMillis).block()
        } catch (error: StatusException) {
            null
        }
    }

    companion object {
        // The network latency is about 0.5 ms within a zone and tens of milliseconds between regions.
        const val DEFAULT_TIMEOUT_MILLIS = 1_000L
    }
}
