package io.sequoiawheel.experiment.configuration

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.ConfigurationReader
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Simulates entry instances in their zones, the object store and operators, and injects the faults of one run. */
internal class ConfigurationSimulation(
    seed: Long,
    private val scenario: ConfigurationScenario,
    private val policy: ConfigurationPolicy,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    val history = HistoryRecorder()
    val store = ObjectStoreModel(clock, VirtualTime.random(seed, "store"), scope = scope)
    val operators = OperatorModel(store.client(), clock)
    private val random = VirtualTime.random(seed, "nodes")
    private val network = ConfigurationNetwork(VirtualTime.random(seed, "network"), scope)
    private val activeFaults = mutableListOf<ConfigurationScenario.Fault>()
    private val zones = List(scenario.size.zones) { ZoneName("z$it") }
    private var incarnations = 0

    init {
        store.observeWrites { key, _, value -> if (key.kind == ObjectKind.ACCEPTED && value != null) accepted(value) }
        zones.forEach { zone -> repeat(scenario.size.perZone) { start(zone) } }
    }

    private fun accepted(value: String) {
        val document = AcceptedDocument.decode(value).getOrNull() ?: error("unreadable accepted document")
        history.record(
            HistoryEvent.DocumentAccepted(
                clock.nowMillis(),
                document.service,
                document.generation,
                document.documentVersion,
            ),
        )
    }

    private fun service(number: Int) = ServiceName("service$number")

    private fun start(zone: ZoneName) {
        val id = InstanceId("${zone.value}-e${incarnations++}")
        val node = ConfigurationNode(id, zone, store.client(), policy, network, history, clock, random)
        network.add(node)
        node.start(scope)
        applyFaults()
    }

    /** Starts the operators' changes of the scenario and waits until they are done. */
    suspend fun runOperators() =
        coroutineScope {
            scenario.changes.forEachIndexed { number, change ->
                launch {
                    delay(change.atMillis)
                    launch { operators.change(service(change.service), "asha", number) }
                    if (change.isRace) launch { operators.change(service(change.service), "binu", number) }
                }
            }
        }

    /** Applies [fault] from its start until its end. */
    suspend fun inject(fault: ConfigurationScenario.Fault) {
        delay(fault.fromMillis - clock.nowMillis())
        when (fault.kind) {
            ConfigurationScenario.Kind.RESTART -> restart(fault)
            ConfigurationScenario.Kind.ACCEPTOR_PAUSED ->
                pause(network.all.firstOrNull { it.isAcceptor } ?: selectNode(fault), fault)
            ConfigurationScenario.Kind.INSTANCE_PAUSED -> pause(selectNode(fault), fault)
            ConfigurationScenario.Kind.ZONE_ISOLATED -> isolateZone(zones[fault.choice % zones.size], fault)
            else -> {
                activeFaults += fault
                applyFaults()
                delay(fault.untilMillis - clock.nowMillis())
                activeFaults -= fault
                applyFaults()
            }
        }
    }

    private fun selectNode(fault: ConfigurationScenario.Fault) = network.all.elementAt(fault.choice % network.all.size)

    private suspend fun restart(fault: ConfigurationScenario.Fault) {
        val node = selectNode(fault)
        node.stop()
        network.remove(node)
        delay(fault.untilMillis - clock.nowMillis())
        start(node.zone)
    }

    private suspend fun pause(
        node: ConfigurationNode,
        fault: ConfigurationScenario.Fault,
    ) {
        if (node.isPaused) return
        node.isPaused = true
        history.record(HistoryEvent.EntryDisconnected(clock.nowMillis(), node.id))
        delay(fault.untilMillis - clock.nowMillis())
        node.isPaused = false
        if (node in network.all) recordReconnect(node)
    }

    private suspend fun isolateZone(
        zone: ZoneName,
        fault: ConfigurationScenario.Fault,
    ) {
        network.isolatedZones += zone
        activeFaults += fault
        applyFaults()
        network.nodesIn(zone).forEach { history.record(HistoryEvent.EntryDisconnected(clock.nowMillis(), it.id)) }
        delay(fault.untilMillis - clock.nowMillis())
        network.isolatedZones -= zone
        activeFaults -= fault
        applyFaults()
        network.nodesIn(zone).forEach(::recordReconnect)
    }

    private fun recordReconnect(node: ConfigurationNode) {
        if (node.isPaused || node.zone in network.isolatedZones) return
        history.record(HistoryEvent.EntryConnected(clock.nowMillis(), node.id))
    }

    private fun applyFaults() {
        val kinds = activeFaults.map { it.kind }.toSet()
        store.faults =
            StoreFaults(
                outage = ConfigurationScenario.Kind.STORE_OUTAGE in kinds,
                latencyMillis = if (ConfigurationScenario.Kind.STORE_SLOW in kinds) SLOW_MILLIS else NORMAL_MILLIS,
                lostAnswerProbability = if (ConfigurationScenario.Kind.LOST_ANSWERS in kinds) LOSS else 0.0,
                lostCallProbability = if (ConfigurationScenario.Kind.LOST_ANSWERS in kinds) LOSS / 2 else 0.0,
                staleMillis = if (ConfigurationScenario.Kind.STALE_READS in kinds) STALE_MILLIS else 0,
            )
        val isolatingKinds =
            setOf(ConfigurationScenario.Kind.ZONE_CUT_FROM_STORE, ConfigurationScenario.Kind.ZONE_ISOLATED)
        val zonesWithoutStore = activeFaults.filter { it.kind in isolatingKinds }.map { zones[it.choice % zones.size] }
        network.all.forEach { it.client.faults = StoreFaults(outage = it.zone in zonesWithoutStore, latencyMillis = 0) }
    }

    /** Reads the audit trails as an operator does and records them in the history. */
    suspend fun readAudit() {
        repeat(scenario.size.services) { number ->
            ConfigurationReader(store).audit(service(number)).onRight { audit ->
                val generations = audit.map { it.generation }
                history.record(HistoryEvent.AuditRead(clock.nowMillis(), service(number), generations))
            }
        }
    }

    /** Returns whether every zone's own report confirms every accepted generation. */
    suspend fun confirmedEverywhere(): Boolean {
        val reader = ConfigurationReader(store)
        return (0 until scenario.size.services).map(::service).all { service ->
            val generation = reader.accepted(service).getOrNull()?.generation ?: return@all true
            reader.confirmInForce(service, generation, zones.toSet()).isRight()
        }
    }

    private companion object {
        const val NORMAL_MILLIS = 4L
        const val SLOW_MILLIS = 800L
        const val STALE_MILLIS = 3_000L
        const val LOSS = 0.3
    }
}
