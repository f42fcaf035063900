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

/** The configuration duties of one entry instance. */
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
    private val api = GatedApi(client, ::awaitRunning)
    private val inForce = InForce(policy.checksGeneration)
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
                if (policy.relays) learnFromPeers()
                if (policy.repairs) launch { every(REPAIR_MILLIS) { repair() } }
                if (policy.repairs && policy.checksGeneration) {
                    launch { every(ZONE_REPAIR_MILLIS) { repairAcrossZones() } }
                }
                if (!policy.relays) launch { every(POLL_MILLIS) { poll() } }
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

    private suspend fun every(
        millis: Long,
        step: suspend () -> Unit,
    ) {
        delay(random.nextLong(millis))
        while (true) {
            awaitRunning()
            step()
            delay(millis)
        }
    }

    /** Puts [documents] in force and relays those that were new here. */
    fun receive(documents: Collection<AcceptedDocument>) {
        val fresh = documents.filter { inForce.apply(it) }
        fresh.forEach {
            history.record(HistoryEvent.DocumentApplied(clock.nowMillis(), id, it.service, it.generation))
        }
        if (fresh.isEmpty() || !policy.relays) return
        val tree = network.tree(zone)
        val up = tree.root?.takeIf { isWatcher && it != id && policy.checksGeneration }
        val targets = tree.children(id) + listOfNotNull(up)
        targets.mapNotNull(network::node).forEach { peer -> network.send(this, peer) { it.receive(fresh) } }
    }

    private suspend fun learnFromPeers() {
        network.nodesOf(zone).filter { it.id != id }.take(START_PEERS).forEach { peer ->
            network.ask(this, peer) { it.inForce.documents().toList() }?.let(::receive)
        }
        if (inForce.documents().isEmpty()) poll()
    }

    private suspend fun poll() {
        api.list(ObjectKind.ACCEPTED).onRight { receive(decode(it)) }
    }

    /** Compares digests with the first peer that answers; both learn what the other lacks. */
    private suspend fun repair() {
        val tree = network.tree(zone)
        if (tree.root == id) return
        val peers = RepairPeers.candidates(id, tree, network.foreignWatchers(zone))
        peers.mapNotNull(network::node).firstOrNull { compare(it, reports = it.id == tree.parent(id)) }
    }

    private suspend fun repairAcrossZones() {
        if (isWatcher) network.foreignWatchers(zone).firstNotNullOfOrNull(network::node)?.let { compare(it, false) }
    }

    /** Returns whether [peer] answered. */
    private suspend fun compare(
        peer: ConfigurationNode,
        reports: Boolean,
    ): Boolean {
        val digest = inForce.digest()
        val theirs =
            network.ask(this, peer) { other ->
                if (reports) other.progress.receive(id, progress.report(clock.nowMillis()), clock.nowMillis())
                if (other.inForce.digest() == digest) emptyList() else other.inForce.documents().toList()
            } ?: return false
        if (theirs.isEmpty()) return true
        // Without the check of generations two peers would exchange their documents for ever: only one side learns.
        if (policy.checksGeneration) {
            val mine = inForce.documents().toList()
            network.send(this, peer) { it.receive(mine) }
        }
        receive(theirs)
        return true
    }

    private suspend fun superviseWatcher() {
        var duties: Job? = null
        coroutineScope {
            while (true) {
                awaitRunning()
                if (isWatcher && duties == null) duties = launch { watcherDuties() }
                if (!isWatcher && duties != null) {
                    duties?.cancel()
                    duties = null
                }
                delay(MEMBERSHIP_MILLIS)
            }
        }
    }

    private suspend fun watcherDuties() =
        coroutineScope {
            launch { lease.run() }
            launch { DocumentAcceptor(api, id, clock, lease::isHeld) { receive(listOf(it)) }.run() }
            if (policy.relays) launch { watch() }
            if (policy.repairs) launch { every(REPAIR_MILLIS) { report() } }
        }

    private suspend fun watch() {
        var revision: Long? = null
        while (true) {
            val known = revision
            val answer =
                if (known ==
                    null
                ) {
                    api.list(ObjectKind.ACCEPTED)
                } else {
                    api.watch(ObjectKind.ACCEPTED, known, WATCH_MILLIS)
                }
            answer.fold({ delay(1 + random.nextLong(RETRY_MILLIS)) }, { listing ->
                receive(decode(listing))
                revision = listing.revision
            })
        }
    }

    private suspend fun report() {
        if (network.tree(zone).root != id) return
        val expected = network.nodesOf(zone).size
        writer.writeIfDue(InForceStatus(zone, id.value, expected, progress.report(clock.nowMillis())))
    }

    private fun decode(listing: ObjectListing): List<AcceptedDocument> =
        listing.objects.mapNotNull { AcceptedDocument.decode(it.value).getOrNull() }

    private companion object {
        const val REPAIR_MILLIS = 2_000L
        const val ZONE_REPAIR_MILLIS = 5_000L
        const val POLL_MILLIS = 10_000L
        const val MEMBERSHIP_MILLIS = 1_000L
        const val WATCH_MILLIS = 30_000L
        const val RETRY_MILLIS = 1_000L
        const val START_PEERS = 2
    }
}
