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

/** Room from the granting instances of the replicas, or from this instance's own credit. Thread-safe. */
internal class GrantRooms(
    private val self: Instance,
    private val membership: MembershipTable,
    private val ledgers: GrantLedgers,
    private val peers: GrantPeers,
    private val clock: Clock,
) : RoomSource {
    private val clients = ConcurrentHashMap<InstanceId, GrantClient>()
    private val ejector = Ejector()
    private val reservations = AtomicLong()

    /** Returns the client for [replica]. */
    fun client(replica: InstanceId): GrantClient = clients.computeIfAbsent(replica) { GrantClient(self.id) }

    /** Forgets replicas that are not listed any more and hold no request of this instance. */
    fun retain(replicas: Set<InstanceId>) {
        clients.entries.removeIf { (id, client) -> id !in replicas && client.outstandingCount() == 0 }
        ejector.retain(replicas)
    }

    override fun candidates(need: RoomNeed): List<RoomSource.Candidate> {
        val document = need.demand.document
        val now = clock.nowMillis()
        val listed = membership.replicas(document.service)
        val usable = listed.groupBy { it.zone }.values.flatMap { zone -> ejector.usable(zone.map { it.id }, now) }
        return listed.map { replica ->
            val state = client(replica.id).state
            val isOpen =
                replica.id in usable &&
                    replica.zone !in document.zonesOut &&
                    replica.state == Instance.State.LIVE &&
                    membership.mayReceiveWork(replica.id)
            RoomSource.Candidate(replica, viewOf(replica, state, isOpen && serves(state, need.demand.model)))
        }
    }

    // Prompt prefixes are not indexed yet; every replica counts as holding none.
    override fun cachedTokens(
        replica: InstanceId,
        need: RoomNeed,
    ): Long = 0

    override suspend fun reserve(
        candidate: Instance,
        need: RoomNeed,
    ): RoomSource.Room? {
        val client = client(candidate.id)
        val reservation = reservationOf(need)
        val ticket = client.issueTicket(reservation.request, clock.nowMillis())
        val result = if (ticket == null) null else ask(candidate, client, reservation)
        val isHeld =
            when (result) {
                ReserveResult.GRANTED -> ticket != null && client.acceptGrant(reservation, ticket, clock.nowMillis())
                ReserveResult.NO_CAPACITY -> false.also { client.onRefused(reservation.request) }
                else -> fromCredit(client, reservation)
            }
        return if (isHeld) HeldRoom(candidate, client, reservation.request) else null
    }

    private suspend fun ask(
        candidate: Instance,
        client: GrantClient,
        reservation: Reservation,
    ): ReserveResult? {
        val granter = client.grantingInstance(clock.nowMillis()) ?: return null
        if (granter != self.id) return peers.reserve(granter, candidate.id, reservation)
        return ledgers.ledger(candidate.id)?.reserve(self.id, reservation, clock.nowMillis())
    }

    private fun fromCredit(
        client: GrantClient,
        reservation: Reservation,
    ): Boolean {
        val startId = client.state?.startId ?: return false
        return client.admitFromCredit(reservation, startId, clock.nowMillis())
    }

    // Callers choose request ids and may repeat them; room is counted per attempt.
    private fun reservationOf(need: RoomNeed) =
        Reservation(
            request = RequestId("${self.id}/${reservations.incrementAndGet()}"),
            workspace = need.demand.workspace,
            promptTokens = need.demand.promptTokens.toLong(),
            predictedTokens = need.predictedTokens.toLong(),
        )

    private fun serves(
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

    private inner class HeldRoom(
        override val replica: Instance,
        private val client: GrantClient,
        private val request: RequestId,
    ) : RoomSource.Room {
        override fun onFirstToken(elapsedMillis: Long) {
            val granter = client.grantingInstance(clock.nowMillis()) ?: return
            if (granter == self.id) {
                ledgers.ledger(replica.id)?.recordFirstToken(elapsedMillis, clock.nowMillis())
            } else {
                peers.firstToken(granter, replica.id, elapsedMillis)
            }
        }

        override fun finish(
            verdict: PlacedRequest.Verdict,
            tokens: Int,
        ) {
            if (verdict == PlacedRequest.Verdict.COMPLETED) ejector.recordSuccess(replica.id)
            if (verdict == PlacedRequest.Verdict.FAILED) ejector.recordFailure(replica.id, clock.nowMillis())
            val granter = client.onFinished(request) ?: return
            if (granter == self.id) {
                ledgers.ledger(replica.id)?.release(self.id, request)
            } else {
                peers.release(granter, replica.id, request, tokens)
            }
        }
    }
}
