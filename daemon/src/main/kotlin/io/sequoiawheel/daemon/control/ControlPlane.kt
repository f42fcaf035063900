package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.configuration.InForceWriter
import io.sequoiawheel.core.configuration.SubtreeProgress
import io.sequoiawheel.core.membership.MembershipTable
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.platform.InstanceList
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.daemon.placement.GrantPlane
import io.sequoiawheel.objectapi.FullJitterBackoff
import io.sequoiawheel.peer.PeerClients
import io.sequoiawheel.peer.PeerServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider

/**
 * The controllers of one entry instance and the gRPC interface to the others.
 *
 * @param self this instance; its peer address is where [PeerServer] binds
 */
internal class ControlPlane(
    private val self: Instance,
    objects: ObjectApi,
    instances: InstanceList,
    private val scope: CoroutineScope,
    private val clock: Clock,
    random: UniformRandomProvider,
    private val orders: OrderDuty,
    readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) : AutoCloseable {
    private val clients = PeerClients()
    private val calls = PeerCalls(clients)
    private val applied = AppliedConfiguration()

    /** Who else exists. */
    val membership = MembershipTable(self)
    private val tree = ZoneTree(membership, self.id, self.zone)

    /** The documents in force. */
    val configuration = ConfigurationController(objects, applied, tree, FullJitterBackoff(random))
    private val members =
        MembershipController(instances, membership, tree, self.id, clock, FullJitterBackoff(random))
    private val comparison =
        ComparisonController(
            self = self.id,
            calls = calls,
            tree = tree,
            applied = applied,
            table = membership,
            configuration = configuration,
            membership = members,
            progress = SubtreeProgress(applied),
            inForce = InForceWriter(objects, clock),
            clock = clock,
            random = random,
        )
    private val leaseholder =
        LeaseholderPlane(self.id, objects, tree, clock) { accepted ->
            scope.launch { configuration.take(listOf(accepted)) }
        }
    private val grants = GrantPlane(self, membership, configuration, calls, clock, scope, random, readLoad)

    /** Where requests get room. */
    val placement = grants.placement
    private val endpoint = PeerEndpoint(membership, configuration, members, comparison, grants, clock)
    private val server = PeerServer(hostOf(self), portOf(self), endpoint)

    /** The port of the gRPC interface; valid after [bind]. */
    val port: Int get() = server.port

    /** Binds the gRPC interface; throws `IOException` if it cannot. */
    fun bind() = server.start()

    /** Starts the controllers. */
    fun start() {
        val relay = UpdateRelay(self.id, calls, tree, scope)
        configuration.relay = { relay.send(it) }
        members.relay = { relay.send(it) }
        scope.launch { learn() }
        scope.supervise("membership") { members.run() }
        scope.supervise("configuration") { configuration.run() }
        scope.supervise("comparison") { comparison.run() }
        leaseholder.start(scope)
        grants.start()
        scope.supervise("orders") {
            orders.run(leaseholder.ordersLease, leaseholder.termMillis, ::documents, membership)
        }
        scope.supervise("peer retirement") { retirePeers() }
    }

    /** Gives up what other instances should take over soon. */
    suspend fun leave() {
        membership.markLeaving(self.id)
        leaseholder.resign()
    }

    override fun close() {
        server.close()
        clients.close()
    }

    /** Asks peers first, then the platform, until one of them has told what is in force. */
    private suspend fun learn() {
        while (!configuration.isKnown) {
            val isLearned = members.latest != null && comparison.learnFromPeers() && configuration.isKnown
            if (!isLearned) configuration.readAll()
            delay(LEARN_PAUSE_MILLIS)
        }
    }

    private fun documents(): List<ServiceDocument> =
        applied.inForce.value.values
            .filterNot { it.isTombstone }
            .map { it.document }

    private suspend fun retirePeers() {
        while (true) {
            delay(RETIRE_INTERVAL_MILLIS)
            if (members.latest != null) clients.retain(membership.listed().mapNotNull { it.peerAddress }.toSet())
        }
    }

    private companion object {
        const val LEARN_PAUSE_MILLIS = 200L
        const val RETIRE_INTERVAL_MILLIS = 30_000L

        fun hostOf(instance: Instance) = instance.peerAddress.orEmpty().substringBeforeLast(':')

        fun portOf(instance: Instance) =
            instance.peerAddress
                .orEmpty()
                .substringAfterLast(':')
                .toInt()
    }
}
