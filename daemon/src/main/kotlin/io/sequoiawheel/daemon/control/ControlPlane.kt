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
import io.sequoiawheel.daemon.placement.GrantCoordinator
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
    private val orders: EngineOrderController,
    readLoad: suspend (Instance, ServiceDocument) -> LoadReport?,
) : AutoCloseable {
    private val clients = PeerClients()
    private val calls = PeerCalls(clients)
    private val applied = AppliedConfiguration()

    /** The known entry instances and replicas. */
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
    private val leaseholderTasks =
        LeaseholderTasks(self.id, objects, tree, clock) { accepted ->
            scope.launch { configuration.applyDocuments(listOf(accepted)) }
        }
    private val grants = GrantCoordinator(self, membership, configuration, calls, clock, scope, random, readLoad)

    /** Places requests on replicas. */
    val placement = grants.placement
    private val peerEndpoint =
        PeerEndpoint(membership, configuration, members, comparison, grants, clock)
    private val peerServer = PeerServer(hostOf(self), portOf(self), peerEndpoint)

    /** The port of the gRPC interface; valid after [bind]. */
    val port: Int get() = peerServer.port

    /** Binds the gRPC interface; throws `IOException` if it cannot. */
    fun bind() = peerServer.start()

    /** Starts the controllers. */
    fun start() {
        val relay = UpdateRelay(self.id, calls, tree, scope)
        configuration.relay = { relay.send(it) }
        members.relay = { relay.send(it) }
        scope.launch { loadConfiguration() }
        scope.supervise("membership") { members.run() }
        scope.supervise("configuration") { configuration.run() }
        scope.supervise("comparison") { comparison.run() }
        leaseholderTasks.start(scope)
        grants.start()
        scope.supervise("orders") {
            orders.run(leaseholderTasks.ordersLease, leaseholderTasks.termMillis, ::documents, membership)
        }
        scope.supervise("peer retirement") { closeUnusedClients() }
    }

    /** Marks this instance as leaving and resigns its leases, so that other instances take over early. */
    suspend fun leave() {
        membership.markLeaving(self.id)
        leaseholderTasks.resign()
    }

    override fun close() {
        peerServer.close()
        clients.close()
    }

    /** Loads the configuration from peers, or else from the platform, until one of them has answered. */
    private suspend fun loadConfiguration() {
        while (!configuration.isKnown) {
            val isLoaded = members.latest != null && comparison.updateFromPeers() && configuration.isKnown
            if (!isLoaded) configuration.loadAll()
            delay(LOAD_RETRY_MILLIS)
        }
    }

    private fun documents(): List<ServiceDocument> =
        applied.inForce.value.values
            .filterNot { it.isTombstone }
            .map { it.document }

    private suspend fun closeUnusedClients() {
        while (true) {
            delay(CLIENT_CLEANUP_INTERVAL_MILLIS)
            if (members.latest != null) clients.retain(membership.listed().mapNotNull { it.peerAddress }.toSet())
        }
    }

    private companion object {
        const val LOAD_RETRY_MILLIS = 200L
        const val CLIENT_CLEANUP_INTERVAL_MILLIS = 30_000L

        fun hostOf(instance: Instance) = instance.peerAddress.orEmpty().substringBeforeLast(':')

        fun portOf(instance: Instance) =
            instance.peerAddress
                .orEmpty()
                .substringAfterLast(':')
                .toInt()
    }
}
