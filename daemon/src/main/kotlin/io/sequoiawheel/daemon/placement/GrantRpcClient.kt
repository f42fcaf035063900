package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.grant.GrantAnswer
import io.sequoiawheel.core.grant.GrantHeartbeat
import io.sequoiawheel.core.grant.Reservation
import io.sequoiawheel.core.grant.ReserveResult
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.daemon.control.PeerCalls
import io.sequoiawheel.peer.generated.Finished
import io.sequoiawheel.peer.generated.FirstToken
import io.sequoiawheel.peer.generated.HeartbeatRequest
import io.sequoiawheel.peer.generated.ReleaseRequest
import io.sequoiawheel.peer.generated.ReserveRequest
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/**
 * Calls granting instances over gRPC. Releases and times to first token are sent in batches; heartbeats repair a lost
 * release. Thread-safe.
 */
internal class GrantRpcClient(
    private val self: Instance,
    private val membership: MembershipTable,
    private val calls: PeerCalls,
) {
    private val batches = ConcurrentHashMap<InstanceId, ReleaseRequest.Builder>()

    /** Asks [grantingInstance] for capacity; returns null if it does not answer. */
    suspend fun reserve(
        grantingInstance: InstanceId,
        replica: InstanceId,
        reservation: Reservation,
    ): ReserveResult? {
        val request =
            ReserveRequest
                .newBuilder()
                .setInstance(self.id.value)
                .setZone(self.zone.value)
                .setReplica(replica.value)
                .setReservation(GrantMessages.toMessage(reservation))
                .build()
        val response = calls.call(find(grantingInstance) ?: return null, RESERVE_TIMEOUT_MILLIS) { reserve(request) }
        return when {
            response == null -> null
            response.granted -> ReserveResult.GRANTED
            response.notResponsible -> ReserveResult.NOT_RESPONSIBLE
            else -> ReserveResult.NO_CAPACITY
        }
    }

    /** Sends [heartbeats], keyed by replica, to [grantingInstance]; returns the answers by replica, none on failure. */
    suspend fun heartbeat(
        grantingInstance: InstanceId,
        heartbeats: Map<InstanceId, GrantHeartbeat>,
    ): Map<InstanceId, GrantAnswer> {
        val request =
            HeartbeatRequest
                .newBuilder()
                .setInstance(self.id.value)
                .setZone(self.zone.value)
                .addAllReplicas(heartbeats.map { (replica, heartbeat) -> GrantMessages.toMessage(replica, heartbeat) })
                .build()
        val response =
            calls.call(find(grantingInstance) ?: return emptyMap()) { heartbeat(request) } ?: return emptyMap()
        return response.repliesList.map(GrantMessages::fromMessage).associateBy { it.state.replica }
    }

    /** Adds the release of [request] to the next batch for [grantingInstance]. */
    fun release(
        grantingInstance: InstanceId,
        replica: InstanceId,
        request: RequestId,
        tokens: Int,
    ) = addToBatch(grantingInstance) {
        addFinished(
            Finished
                .newBuilder()
                .setReplica(replica.value)
                .setRequestId(request.value)
                .setTokens(tokens),
        )
    }

    /** Adds a time to first token to the next batch for [grantingInstance]. */
    fun reportFirstToken(
        grantingInstance: InstanceId,
        replica: InstanceId,
        millis: Long,
    ) = addToBatch(grantingInstance) {
        addFirstTokens(FirstToken.newBuilder().setReplica(replica.value).setMillis(millis.toInt()))
    }

    /** Sends the batches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(BATCH_MILLIS)
            batches.keys.forEach { grantingInstance ->
                val batch = batches.remove(grantingInstance) ?: return@forEach
                find(grantingInstance)?.let { peer -> calls.call(peer) { release(batch.build()) } }
            }
        }
    }

    private fun addToBatch(
        grantingInstance: InstanceId,
        addEntry: ReleaseRequest.Builder.() -> Unit,
    ) {
        batches.compute(grantingInstance) { _, pending ->
            (pending ?: ReleaseRequest.newBuilder().setInstance(self.id.value)).apply(addEntry)
        }
    }

    private fun find(id: InstanceId): Instance? = membership.listed().firstOrNull { it.id == id }

    private companion object {
        // A slower granting instance counts as unreachable; the credit or the next candidate is used instead.
        const val RESERVE_TIMEOUT_MILLIS = 300L
        const val BATCH_MILLIS = 20L
    }
}
