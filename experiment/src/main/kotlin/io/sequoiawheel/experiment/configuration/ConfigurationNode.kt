package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.DocumentAcceptor
import io.sequoiawheel.core.configuration.InForceStatus
import io.sequoiawheel.core.configuration.InForceWriter
import io.sequoiawheel.core.configuration.RepairPeers
import io.sequoiawheel.core.configuration.SubtreeProgress
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.lease.Lease
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.standin.store.StoreClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider

/** Simulates how one entry instance receives, relays, repairs and accepts configuration. */
internal class ConfigurationNode(
    val id: InstanceId,
    val zone: ZoneName,
    val client: StoreClient,
    private val policy: ConfigurationPolicy,
    private val network: ConfigurationNetwork,
    private val history: HistoryRecorder,
    private val clock: Clock,
    private val random: UniformRandomProvider,
) {
    private val paused = MutableStateFlow(false)
    private val api = PausableApi(client, ::awaitRunning)
    private val inForce = DocumentsInForce(policy.checksGeneration)
    private val progress = SubtreeProgress(inForce.applied)
    private val writer = InForceWriter(api, clock)
    private val lease = Lease(api, "acceptor", id, clock)
    private var job: Job? = null

    var isPaused: Boolean
        get() = paused.value
        set(value) {
            paused.value = value
        }

    /** Whether this instance may act as the acceptor now. */
    val isAcceptor: Boolean get() = lease.isHeld()

    private val isWatcher: Boolean get() = id in network.tree(zone).watchers

    fun start(scope: CoroutineScope) {
        history.record(HistoryEvent.EntryConnected(clock.nowMillis(), id))
        job =
            scope.launch {
                if (policy.usesRelays) updateFromPeers()
                if (policy.usesRepair) launch { repeatEvery(REPAIR_INTERVAL_MILLIS) { repair() } }
                if (policy.usesRepair && policy.checksGeneration) {
                    launch { repeatEvery(CROSS_ZONE_REPAIR_INTERVAL_MILLIS) { repairAcrossZones() } }
                }
                if (!policy.usesRelays) launch { repeatEvery(POLL_INTERVAL_MILLIS) { poll() } }
                launch { superviseWatcher() }
            }
    }

    fun stop() {
        job?.cancel()
        history.record(HistoryEvent.EntryDisconnected(clock.nowMillis(), id))
    }

    private suspend fun awaitRunning() {
        paused.first { !it }
    }

    private suspend fun repeatEvery(
        millis: Long,
        action: suspend () -> Unit,
    ) {
        delay(random.nextLong(millis))
        while (true) {
            awaitRunning()
            action()
            delay(millis)
        }
    }

    /** Puts [documents] in force and relays those that this instance did not have yet. */
    fun receive(documents: Collection<AcceptedDocument>) {
        val newDocuments = documents.filter { inForce.apply(it) }
        newDocuments.forEach {
            history.record(HistoryEvent.DocumentApplied(clock.nowMillis(), id, it.service, it.generation))
        }
        if (newDocuments.isEmpty() || !policy.usesRelays) return
        val tree = network.tree(zone)
        val rootTarget = tree.root?.takeIf { isWatcher && it != id && policy.checksGeneration }
        val targets = tree.children(id) + listOfNotNull(rootTarget)
        targets.mapNotNull(network::node).forEach { peer -> network.send(this, peer) { it.receive(newDocuments) } }
    }

    private suspend fun updateFromPeers() {
        network.nodesIn(zone).filter { it.id != id }.take(INITIAL_PEER_COUNT).forEach { peer ->
            network.query(this, peer) { it.inForce.documents().toList() }?.let(::receive)
        }
        if (inForce.documents().isEmpty()) poll()
    }

    private suspend fun poll() {
        api.list(ObjectKind.ACCEPTED).onRight { receive(decode(it)) }
    }

    /** Compares digests with the first peer that answers; each sends the documents that the other lacks. */
    private suspend fun repair() {
        val tree = network.tree(zone)
        if (tree.root == id) return
        val peers = RepairPeers.candidates(id, tree, network.otherZoneWatchers(zone))
        peers.mapNotNull(network::node).firstOrNull { compare(it, sendsReport = it.id == tree.parent(id)) }
    }

    private suspend fun repairAcrossZones() {
        if (isWatcher) network.otherZoneWatchers(zone).firstNotNullOfOrNull(network::node)?.let { compare(it, false) }
    }

    /** Returns whether [peer] answered. */
    private suspend fun compare(
        peer: ConfigurationNode,
        sendsReport: Boolean,
    ): Boolean {
        val digest = inForce.digest()
        val peerDocuments =
            network.query(this, peer) { other ->
                if (sendsReport) other.progress.receive(id, progress.report(clock.nowMillis()), clock.nowMillis())
                if (other.inForce.digest() == digest) emptyList() else other.inForce.documents().toList()
            } ?: return false
        if (peerDocuments.isEmpty()) return true
        // Only one side learns without the generation check; otherwise two peers would exchange documents forever.
        if (policy.checksGeneration) {
            val ownDocuments = inForce.documents().toList()
            network.send(this, peer) { it.receive(ownDocuments) }
        }
        receive(peerDocuments)
        return true
    }

    private suspend fun superviseWatcher() {
        var watcherJob: Job? = null
        coroutineScope {
            while (true) {
                awaitRunning()
                if (isWatcher && watcherJob == null) watcherJob = launch { runWatcherTasks() }
                if (!isWatcher && watcherJob != null) {
                    watcherJob?.cancel()
                    watcherJob = null
                }
                delay(MEMBERSHIP_CHECK_INTERVAL_MILLIS)
            }
        }
    }

    private suspend fun runWatcherTasks() =
        coroutineScope {
            launch { lease.run() }
            launch { DocumentAcceptor(api, id, clock, lease::isHeld) { receive(listOf(it)) }.run() }
            if (policy.usesRelays) launch { watch() }
            if (policy.usesRepair) launch { repeatEvery(REPAIR_INTERVAL_MILLIS) { report() } }
        }

    private suspend fun watch() {
        var revision: Long? = null
        while (true) {
            val knownRevision = revision
            val answer =
                if (knownRevision ==
                    null
                ) {
                    api.list(ObjectKind.ACCEPTED)
                } else {
                    api.watch(ObjectKind.ACCEPTED, knownRevision, WATCH_TIMEOUT_MILLIS)
                }
            answer.fold({ delay(1 + random.nextLong(MAXIMUM_RETRY_DELAY_MILLIS)) }, { listing ->
                receive(decode(listing))
                revision = listing.revision
            })
        }
    }

    private suspend fun report() {
        if (network.tree(zone).root != id) return
        val expected = network.nodesIn(zone).size
        writer.writeIfDue(InForceStatus(zone, id.value, expected, progress.report(clock.nowMillis())))
    }

    private fun decode(listing: ObjectListing): List<AcceptedDocument> =
        listing.objects.mapNotNull { AcceptedDocument.decode(it.value).getOrNull() }

    private companion object {
        const val REPAIR_INTERVAL_MILLIS = 2_000L
        const val CROSS_ZONE_REPAIR_INTERVAL_MILLIS = 5_000L
        const val POLL_INTERVAL_MILLIS = 10_000L
        const val MEMBERSHIP_CHECK_INTERVAL_MILLIS = 1_000L
        const val WATCH_TIMEOUT_MILLIS = 30_000L
        const val MAXIMUM_RETRY_DELAY_MILLIS = 1_000L
        const val INITIAL_PEER_COUNT = 2
    }
}
