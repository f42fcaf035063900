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

/** The calls to granting instances. Releases and first-token times are sent in batches; a lost one is repaired by the
 * heartbeats. Thread-safe. */
internal class GrantPeers(
    private val self: Instance,
    private val membership: MembershipTable,
    private val calls: PeerCalls,
) {
    private val batches = ConcurrentHashMap<InstanceId, ReleaseRequest.Builder>()

    /** Asks [granter] for room; null if it does not answer. */
    suspend fun reserve(
        granter: InstanceId,
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
        val response = calls.call(find(granter) ?: return null, RESERVE_TIMEOUT_MILLIS) { reserve(request) }
        return when {
            response == null -> null
            response.granted -> ReserveResult.GRANTED
            response.notResponsible -> ReserveResult.NOT_RESPONSIBLE
            else -> ReserveResult.NO_CAPACITY
        }
    }

    /** Sends the heartbeats for the replicas of one granting instance; returns the answers by replica. */
    suspend fun heartbeat(
        granter: InstanceId,
        heartbeats: Map<InstanceId, GrantHeartbeat>,
    ): Map<InstanceId, GrantAnswer> {
        val request =
            HeartbeatRequest
                .newBuilder()
                .setInstance(self.id.value)
                .setZone(self.zone.value)
                .addAllReplicas(heartbeats.map { (replica, heartbeat) -> GrantMessages.toMessage(replica, heartbeat) })
                .build()
        val response = calls.call(find(granter) ?: return emptyMap()) { heartbeat(request) } ?: return emptyMap()
        return response.repliesList.map(GrantMessages::fromMessage).associateBy { it.state.replica }
    }

    fun release(
        granter: InstanceId,
        replica: InstanceId,
        request: RequestId,
        tokens: Int,
    ) = batch(granter) {
        addFinished(
            Finished
                .newBuilder()
                .setReplica(replica.value)
                .setRequestId(request.value)
                .setTokens(tokens),
        )
    }

    fun firstToken(
        granter: InstanceId,
        replica: InstanceId,
        millis: Long,
    ) = batch(granter) {
        addFirstTokens(FirstToken.newBuilder().setReplica(replica.value).setMillis(millis.toInt()))
    }

    /** Sends batches until cancelled. */
    suspend fun run() {
        while (true) {
            delay(BATCH_MILLIS)
            batches.keys.forEach { granter ->
                val batch = batches.remove(granter) ?: return@forEach
                find(granter)?.let { peer -> calls.call(peer) { release(batch.build()) } }
            }
        }
    }

    private fun batch(
        granter: InstanceId,
        add: ReleaseRequest.Builder.() -> Unit,
    ) {
        batches.compute(granter) { _, old ->
            (old ?: ReleaseRequest.newBuilder().setInstance(self.id.value)).apply(add)
        }
    }

    private fun find(id: InstanceId): Instance? = membership.listed().firstOrNull { it.id == id }

    private companion object {
        // A granting instance that is slower is treated as unreachable, and the next candidate or the credit is used.
        const val RESERVE_TIMEOUT_MILLIS = 300L
        const val BATCH_MILLIS = 20L
    }
}
