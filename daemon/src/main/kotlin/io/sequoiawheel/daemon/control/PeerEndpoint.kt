package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.daemon.placement.GrantCoordinator
import io.sequoiawheel.peer.generated.CompareRequest
import io.sequoiawheel.peer.generated.CompareResponse
import io.sequoiawheel.peer.generated.HeartbeatRequest
import io.sequoiawheel.peer.generated.HeartbeatResponse
import io.sequoiawheel.peer.generated.PeerGrpcKt
import io.sequoiawheel.peer.generated.RelayRequest
import io.sequoiawheel.peer.generated.RelayResponse
import io.sequoiawheel.peer.generated.ReleaseRequest
import io.sequoiawheel.peer.generated.ReleaseResponse
import io.sequoiawheel.peer.generated.ReserveRequest
import io.sequoiawheel.peer.generated.ReserveResponse

/** The gRPC service that other entry instances call. */
internal class PeerEndpoint(
    private val table: MembershipTable,
    private val configuration: ConfigurationController,
    private val membership: MembershipController,
    private val comparison: ComparisonController,
    private val grants: GrantCoordinator,
    private val clock: Clock,
) : PeerGrpcKt.PeerCoroutineImplBase() {
    override suspend fun relay(request: RelayRequest): RelayResponse {
        table.recordMessageFrom(InstanceId(request.sender), clock.nowMillis())
        if (request.hasMembership()) PeerMessages.fromMessage(request.membership)?.let { membership.applyUpdate(it) }
        configuration.applyDocuments(PeerMessages.fromMessages(request.acceptedList))
        return RelayResponse.getDefaultInstance()
    }

    override suspend fun reserve(request: ReserveRequest): ReserveResponse {
        table.recordMessageFrom(InstanceId(request.instance), clock.nowMillis())
        return grants.reserve(request)
    }

    override suspend fun release(request: ReleaseRequest): ReleaseResponse {
        grants.release(request)
        return ReleaseResponse.getDefaultInstance()
    }

    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatResponse {
        table.recordMessageFrom(InstanceId(request.instance), clock.nowMillis())
        return grants.heartbeat(request)
    }

    override suspend fun compare(request: CompareRequest): CompareResponse = comparison.handle(request)
}
