package io.sequoiawheel.daemon.control

import io.grpc.StatusException
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.peer.PeerClients
import io.sequoiawheel.peer.generated.PeerGrpcKt

/** Calls to other entry instances. A call that fails in any way returns null; the periodic comparison repairs it. */
internal class PeerCalls(
    private val clients: PeerClients,
) {
    suspend fun <T> call(
        peer: Instance,
        timeoutMillis: Long = TIMEOUT_MILLIS,
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
        // Peers of a zone are half a millisecond away; other regions take tens of milliseconds.
        const val TIMEOUT_MILLIS = 1_000L
    }
}
