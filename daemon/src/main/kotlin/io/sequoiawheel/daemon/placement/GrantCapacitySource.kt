package io.sequoiawheel.daemon.placement

import io.sequoiawheel.core.grant.GrantClient
import io.sequoiawheel.core.grant.Reservation
import io.sequoiawheel.core.grant.ReserveResult
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.routing.Ejector
import io.sequoiawheel.core.routing.ReplicaState
import io.sequoiawheel.core.routing.ReplicaView
import io.sequoiawheel.core.serving.PlacedRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Reserves capacity with the granting instances of the replicas, or from this instance's credit if no responsible
 * granting instance answers. Thread-safe.
 */
internal class GrantCapacitySource(
    private val self: Instance,
    private val membership: MembershipTable,
    private val ledgers: GrantLedgers,
    private val rpcClient: GrantRpcClient,
    private val clock: Clock,
) : CapacitySource {
    private val clients = ConcurrentHashMap<InstanceId, GrantClient>()
    private val ejector = Ejector()
    private val reservationCount = AtomicLong()

    /** Returns the grant client of [replica], created on first use. */
    fun client(replica: InstanceId): GrantClient = clients.computeIfAbsent(replica) { GrantClient(self.id) }

    /**
     * Removes the state of replicas that are not in [replicas]. The grant client of such a replica is kept while it
     * holds a reservation.
     */
    fun retain(replicas: Set<InstanceId>) {
        clients.entries.removeIf { (id, client) -> id !in replicas && client.outstandingCount() == 0 }
        ejector.retain(replicas)
    }

    override fun candidates(required: CapacityRequirements): List<CapacitySource.Candidate> {
        val document = required.demand.document
        val now = clock.nowMillis()
        val listed = membership.replicas(document.service)
        val usable = listed.groupBy { it.zone }.values.flatMap { zone -> ejector.usable(zone.map { it.id }, now) }
        return listed.map { replica ->
            val state = client(replica.id).state
            val isAvailable =
                replica.id in usable &&
                    replica.zone !in document.zonesOut &&
                    replica.state == Instance.State.LIVE &&
                    membership.mayReceiveWork(replica.id)
            CapacitySource.Candidate(
                replica,
                viewOf(replica, state, isAvailable && canServe(state, required.demand.model)),
            )
        }
    }

    // Prompt prefixes are not indexed yet, so no replica counts as having any cached.
    override fun cachedTokens(
        replica: InstanceId,
        required: CapacityRequirements,
    ): Long = 0

    override suspend fun reserve(
        candidate: Instance,
        required: CapacityRequirements,
    ): CapacitySource.ReservedCapacity? {
        val client = client(candidate.id)
        val reservation = reservationOf(required)
        val ticket = client.issueTicket(reservation.request, clock.nowMillis())
        val result = if (ticket == null) null else requestGrant(candidate, client, reservation)
        val isReserved =
            when (result) {
                ReserveResult.GRANTED -> ticket != null && client.acceptGrant(reservation, ticket, clock.nowMillis())
                ReserveResult.NO_CAPACITY -> false.also { client.onRefused(reservation.request) }
                else -> reserveFromCredit(client, reservation)
            }
        return if (isReserved) HeldCapacity(candidate, client, reservation.request) else null
    }

    private suspend fun requestGrant(
        candidate: Instance,
        client: GrantClient,
        reservation: Reservation,
    ): ReserveResult? {
        val grantingInstance = client.grantingInstance(clock.nowMillis()) ?: return null
        if (grantingInstance != self.id) return rpcClient.reserve(grantingInstance, candidate.id, reservation)
        return ledgers.ledger(candidate.id)?.reserve(self.id, reservation, clock.nowMillis())
    }

    private fun reserveFromCredit(
        client: GrantClient,
        reservation: Reservation,
    ): Boolean {
        val startId = client.state?.startId ?: return false
        return client.admitFromCredit(reservation, startId, clock.nowMillis())
    }

    // Callers choose request ids and may repeat them; capacity is reserved per attempt, so each attempt has its own id.
    private fun reservationOf(required: CapacityRequirements) =
        Reservation(
            request = RequestId("${self.id}/${reservationCount.incrementAndGet()}"),
            workspace = required.demand.workspace,
            promptTokens = required.demand.promptTokens.toLong(),
            predictedTokens = required.predictedTokens.toLong(),
        )

    private fun canServe(
        state: ReplicaState?,
        model: String?,
    ): Boolean {
        if (state == null || state.startId.isEmpty()) return true
        return !state.leaving && state.reachable && (model == null || model in state.models)
    }

    private fun viewOf(
        replica: Instance,
        state: ReplicaState?,
        isEligible: Boolean,
    ) = ReplicaView(
        replica = replica.id,
        zone = replica.zone,
        eligible = isEligible,
        freeTokens = state?.freeTokens ?: 0,
        capacityTokens = state?.capacityTokens ?: 0,
        freeRequests = state?.freeRequests ?: 0,
    )

    private inner class HeldCapacity(
        override val replica: Instance,
        private val client: GrantClient,
        private val request: RequestId,
    ) : CapacitySource.ReservedCapacity {
        override fun onFirstToken(elapsedMillis: Long) {
            val grantingInstance = client.grantingInstance(clock.nowMillis()) ?: return
            if (grantingInstance == self.id) {
                ledgers.ledger(replica.id)?.recordFirstToken(elapsedMillis, clock.nowMillis())
            } else {
                rpcClient.reportFirstToken(grantingInstance, replica.id, elapsedMillis)
            }
        }

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) {
            if (verdict == PlacedRequest.Verdict.COMPLETED) ejector.recordSuccess(replica.id)
            if (verdict == PlacedRequest.Verdict.FAILED) ejector.recordFailure(replica.id, clock.nowMillis())
            val grantingInstance = client.onFinished(request) ?: return
            if (grantingInstance == self.id) {
                ledgers.ledger(replica.id)?.release(self.id, request)
            } else {
                rpcClient.release(grantingInstance, replica.id, request, tokens)
            }
        }
    }
}
