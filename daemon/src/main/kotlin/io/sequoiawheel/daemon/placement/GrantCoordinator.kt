package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.admission.LengthEstimator
import io.sequoiawheel.core.grant.ReserveResult
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.routing.ReplicaChooser
import io.sequoiawheel.daemon.control.PeerCalls
import io.sequoiawheel.daemon.control.supervise
import io.sequoiawheel.daemon.http.Documents
import io.sequoiawheel.peer.generated.HeartbeatRequest
import io.sequoiawheel.peer.generated.HeartbeatResponse
import io.sequoiawheel.peer.generated.ReleaseRequest
import io.sequoiawheel.peer.generated.ReserveRequest
import io.sequoiawheel.peer.generated.ReserveResponse
import kotlinx.coroutines.CoroutineScope
import org.apache.commons.rng.UniformRandomProvider

/**
 * The grant protocol of this instance: the ledgers of the replicas of its zone, the clients of the ledgers at other
 * instances, and the queues in which requests wait for capacity.
 */
internal class GrantCoordinator(
    self: Instance,
    membership: MembershipTable,
    documents: Documents,
    calls: PeerCalls,
    private val clock: Clock,
    private val scope: CoroutineScope,
    random: UniformRandomProvider,
    readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) {
    private val ledgers = GrantLedgers(self, membership, documents, clock, readLoad)
    private val rpcClient = GrantRpcClient(self, membership, calls)
    private val capacitySource = GrantCapacitySource(self, membership, ledgers, rpcClient, clock)

    /** Places requests through the queues of this instance. */
    val placement = QueuedPlacement(self.zone, capacitySource, LengthEstimator(), ReplicaChooser(random), clock, scope)
    private val heartbeats =
        GrantHeartbeats(self, membership, ledgers, capacitySource, rpcClient, clock, placement::signal)

    /** Starts the background loops. */
    fun start() {
        scope.supervise("load") { ledgers.run() }
        scope.supervise("heartbeats") { heartbeats.run() }
        scope.supervise("releases") { rpcClient.run() }
    }

    /** Handles a peer's request for capacity. */
    fun reserve(request: ReserveRequest): ReserveResponse {
        val ledger = ledgers.ledger(InstanceId(request.replica))
        val reservation = GrantMessages.fromMessage(request.reservation)
        val result = ledger?.reserve(InstanceId(request.instance), reservation, clock.nowMillis())
        return ReserveResponse
            .newBuilder()
            .setGranted(result == ReserveResult.GRANTED)
            .setNotResponsible(result == null || result == ReserveResult.NOT_RESPONSIBLE)
            .build()
    }

    /** Applies a peer's releases and times to first token. */
    fun release(request: ReleaseRequest) {
        val sender = InstanceId(request.instance)
        request.finishedList.forEach {
            ledgers.ledger(InstanceId(it.replica))?.release(sender, RequestId(it.requestId))
        }
        request.firstTokensList.forEach {
            ledgers.ledger(InstanceId(it.replica))?.recordFirstToken(it.millis.toLong(), clock.nowMillis())
        }
        placement.signal()
    }

    /** Handles a peer's heartbeat. Replicas without a ledger at this instance are omitted from the response. */
    fun heartbeat(request: HeartbeatRequest): HeartbeatResponse {
        val sender = InstanceId(request.instance)
        val response = HeartbeatResponse.newBuilder()
        request.replicasList.forEach { registration ->
            val ledger = ledgers.ledger(InstanceId(registration.replica)) ?: return@forEach
            val heartbeat = GrantMessages.fromMessage(sender, registration)
            response.addReplies(GrantMessages.toMessage(ledger.heartbeat(heartbeat, clock.nowMillis())))
        }
        return response.build()
    }
}
