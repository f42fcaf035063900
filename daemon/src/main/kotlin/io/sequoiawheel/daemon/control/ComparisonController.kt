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
 * Repairs losses of the relay: every instance compares digests with its tree parent, watchers also with another zone,
 * which reaches zones that are cut off from the platform only. Reports of the subtree travel up with the comparison.
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
    /** Compares until cancelled. */
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

    /** Learns what a peer of the zone has, at the start of this instance; returns whether one answered. */
    suspend fun learnFromPeers(): Boolean {
        val peers = tree.peers().ifEmpty { tree.foreignPeers() }
        return peers.take(STARTUP_PEERS).any { compareWith(it) }
    }

    /** Answers the comparison of another instance. */
    fun answer(request: CompareRequest): CompareResponse {
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

    // A parent that is paused must not keep everything below it on an old configuration.
    private suspend fun compareInZone() {
        val parent = tree.parent()
        if (parent != null && compareWith(parent, reports = true)) return
        tree.repairPeers().filter { it.id != parent?.id }.firstOrNull { compareWith(it) }
    }

    private suspend fun compareWith(
        peer: Instance,
        reports: Boolean = false,
    ): Boolean {
        val request =
            CompareRequest
                .newBuilder()
                .setSender(self.value)
                .setConfigurationDigest(applied.digest())
                .setMembershipDigest(table.digest())
        if (reports) {
            val report = progress.report(clock.nowMillis())
            request.setSubtreeInstances(report.instances).addAllLowest(PeerMessages.toMessages(report.lowest))
        }
        val response = calls.call(peer) { compare(request.build()) } ?: return false
        table.recordMessageFrom(peer.id, clock.nowMillis())
        learn(peer, response)
        return true
    }

    private suspend fun learn(
        peer: Instance,
        response: CompareResponse,
    ) {
        if (!response.hasMembership()) table.confirm(clock.nowMillis())
        if (response.same) return
        val theirs = PeerMessages.fromMessages(response.acceptedList)
        configuration.take(theirs)
        if (response.hasMembership()) PeerMessages.fromMessage(response.membership)?.let { membership.take(it) }
        if (response.acceptedCount > 0) sendNewer(peer, theirs.associate { it.service to it.generation })
    }

    private suspend fun sendNewer(
        peer: Instance,
        theirs: Map<ServiceName, Long>,
    ) {
        val newer =
            applied.inForce.value.values
                .filter { it.generation > (theirs[it.service] ?: 0) }
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

        // Spreads the comparisons of instances that started together; the mean interval stays at 2 s.
        const val JITTER_MILLIS = 200L

        // Every four seconds: the fewest whole rounds within the five seconds of the design.
        const val FOREIGN_ROUNDS = 2L
        const val STARTUP_PEERS = 3
    }
}
