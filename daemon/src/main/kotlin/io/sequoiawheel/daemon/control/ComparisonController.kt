package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.configuration.InForceStatus
import io.sequoiawheel.core.configuration.InForceWriter
import io.sequoiawheel.core.configuration.SubtreeProgress
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.peer.generated.CompareRequest
import io.sequoiawheel.peer.generated.CompareResponse
import io.sequoiawheel.peer.generated.RelayRequest
import kotlinx.coroutines.delay
import org.apache.commons.rng.UniformRandomProvider

/**
 * Anti-entropy between entry instances, which repairs updates that the relay lost. Every instance periodically
 * compares digests with its tree parent. Watchers also compare with an instance of another zone, which updates a zone
 * that is cut off from the platform but not from other zones. The comparison with the parent carries the report of the
 * subtree.
 */
internal class ComparisonController(
    private val self: InstanceId,
    private val calls: PeerCalls,
    private val tree: ZoneTree,
    private val applied: AppliedConfiguration,
    private val table: MembershipTable,
    private val configuration: ConfigurationController,
    private val membership: MembershipController,
    private val progress: SubtreeProgress,
    private val inForce: InForceWriter,
    private val clock: Clock,
    private val random: UniformRandomProvider,
) {
    /** Compares periodically until cancelled. */
    suspend fun run() {
        var round = 0L
        while (true) {
            delay(INTERVAL_MILLIS + random.nextLong(JITTER_MILLIS))
            round++
            compareInZone()
            if (tree.isWatcher && round % FOREIGN_ROUNDS == 0L) randomOf(tree.foreignPeers())?.let { compareWith(it) }
            if (tree.isRoot) reportZone()
        }
    }

    /**
     * Fetches configuration and membership from a peer at startup, from another zone if this zone has none; returns
     * whether one answered.
     */
    suspend fun updateFromPeers(): Boolean {
        val peers = tree.peers().ifEmpty { tree.foreignPeers() }
        return peers.take(MAXIMUM_STARTUP_PEERS).any { compareWith(it) }
    }

    /** Handles the comparison request of another instance. */
    fun handle(request: CompareRequest): CompareResponse {
        val now = clock.nowMillis()
        val sender = InstanceId(request.sender)
        table.recordMessageFrom(sender, now)
        if (request.subtreeInstances > 0) {
            progress.receive(sender, PeerMessages.reportOf(request.subtreeInstances, request.lowestList), now)
        }
        val sameConfiguration = request.configurationDigest == applied.digest()
        val sameMembership = request.membershipDigest == table.digest()
        val response = CompareResponse.newBuilder().setSame(sameConfiguration && sameMembership)
        if (!sameConfiguration) {
            response.addAllAccepted(
                applied.inForce.value.values
                    .map(PeerMessages::toMessage),
            )
        }
        if (!sameMembership) membership.latest?.let { response.setMembership(PeerMessages.toMessage(it)) }
        return response.build()
    }

    // If the parent does not answer, other peers are tried, so that a paused parent does not keep its whole subtree on
    // an old configuration.
    private suspend fun compareInZone() {
        val parent = tree.parent()
        if (parent != null && compareWith(parent, includeReport = true)) return
        tree.repairPeers().filter { it.id != parent?.id }.firstOrNull { compareWith(it) }
    }

    private suspend fun compareWith(
        peer: Instance,
        includeReport: Boolean = false,
    ): Boolean {
        val request =
            CompareRequest
                .newBuilder()
                .setSender(self.value)
                .setConfigurationDigest(applied.digest())
                .setMembershipDigest(table.digest())
        if (includeReport) {
            val report = progress.report(clock.nowMillis())
            request.setSubtreeInstances(report.instances).addAllLowest(PeerMessages.toMessages(report.lowest))
        }
        val response = calls.call(peer) { compare(request.build()) } ?: return false
        table.recordMessageFrom(peer.id, clock.nowMillis())
        applyResponse(peer, response)
        return true
    }

    private suspend fun applyResponse(
        peer: Instance,
        response: CompareResponse,
    ) {
        if (!response.hasMembership()) table.confirm(clock.nowMillis())
        if (response.same) return
        val peerDocuments = PeerMessages.fromMessages(response.acceptedList)
        configuration.applyDocuments(peerDocuments)
        if (response.hasMembership()) PeerMessages.fromMessage(response.membership)?.let { membership.applyUpdate(it) }
        if (response.acceptedCount > 0) sendNewer(peer, peerDocuments.associate { it.service to it.generation })
    }

    private suspend fun sendNewer(
        peer: Instance,
        peerGenerations: Map<ServiceName, Long>,
    ) {
        val newer =
            applied.inForce.value.values
                .filter { it.generation > (peerGenerations[it.service] ?: 0) }
        if (newer.isEmpty()) return
        val request =
            RelayRequest.newBuilder().setSender(self.value).addAllAccepted(newer.map(PeerMessages::toMessage))
        calls.call(peer) { relay(request.build()) }
    }

    private suspend fun reportZone() {
        val report = progress.report(clock.nowMillis())
        inForce.writeIfDue(InForceStatus(tree.zone, self.value, tree.size, report))
    }

    private fun randomOf(peers: List<Instance>): Instance? =
        if (peers.isEmpty()) null else peers[random.nextInt(peers.size)]

    private companion object {
        const val INTERVAL_MILLIS = 1_900L

        // Spreads the comparisons of instances that started together; the mean interval is 2 s.
        const val JITTER_MILLIS = 200L

        // Watchers compare with another zone in every second round, which is every 4 s: the longest interval of whole
        // rounds within the design limit of 5 s.
        const val FOREIGN_ROUNDS = 2L
        const val MAXIMUM_STARTUP_PEERS = 3
    }
}
