package io.sequoiawheel.cli.demo

import io.sequoiawheel.cli.CommandFailure
import io.sequoiawheel.core.history.CheckBounds
import io.sequoiawheel.core.history.CheckResult
import io.sequoiawheel.core.history.HistoryChecker
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.Promise
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.objectapi.HttpObjectApi
import io.sequoiawheel.objectapi.PlatformSettings
import io.sequoiawheel.objectapi.PlatformTransport
import io.sequoiawheel.standin.deployment.StandInSet
import io.sequoiawheel.standin.plain.AnswerFault
import io.sequoiawheel.standin.plain.PlainServiceFaults
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Runs the demo at one deployment: starts it, drives callers, lets parts fail and leave, and checks the promises. */
internal class DeploymentRun(
    private val plan: DemoPlan,
    print: (String) -> Unit,
) {
    private val notes = DemoNotes(plan.name, print)
    private val tally = Tally()
    private val standIns = StandInSet(plan.standIns, notes.history)
    private val client = CallerClient()

    /** Runs to the end and returns what was observed. Throws [CommandFailure] if the deployment does not start. */
    suspend fun run(): DeploymentReport {
        standIns.start()
        val platform = platformSettings()
        val transport = PlatformTransport(platform.copy(callsPerSecond = OPERATOR_CALLS_PER_SECOND))
        val fleet = EntryFleet(plan, platform, notes)
        try {
            fleet.start()
            notes.progress("${plan.standIns.backends.size} backend servers and ${fleet.size} entry instances started")
            val api = HttpObjectApi(platform.objectApi, transport)
            val operator = ConfigurationOperator(plan, api, notes, fleet::size)
            noteReplicas()
            awaitService(operator)
            serve(fleet, operator)
            operator.readAudits()
        } finally {
            fleet.close()
            client.close()
            transport.close()
            standIns.close()
        }
        return report()
    }

    private fun platformSettings(): PlatformSettings =
        PlatformSettings(
            objectApi = checkNotNull(standIns.objectStore).baseUrl,
            instanceList = checkNotNull(standIns.instanceList).baseUrl,
            weightStore = checkNotNull(standIns.weightStore).baseUrl,
        )

    private fun noteReplicas() =
        plan.standIns.backends.forEach { backend ->
            notes.record(HistoryEvent.ReplicaCapacity(notes.now(), backend.id, backend.service, backend.zone))
        }

    private suspend fun awaitService(operator: ConfigurationOperator) {
        listOf(plan.engineDocument, plan.plainDocument).forEach { document ->
            val accepted = operator.put(document)
            notes.progress("${accepted.service} accepted as generation ${accepted.generation}")
            operator.awaitInForce(accepted)
        }
        notes.progress("both services are in force at every entry instance")
    }

    private suspend fun serve(
        fleet: EntryFleet,
        operator: ConfigurationOperator,
    ) = coroutineScope {
        val reverts = launch { operator.watchReverts() }
        val end = notes.now() + LOAD_MILLIS
        val callers = launchCallers(fleet, end)
        val events = launch { changeThings(fleet, operator) }
        events.join()
        val drained = withTimeoutOrNull(LOAD_MILLIS + DRAIN_MILLIS) { callers.joinAll() }
        if (drained == null) callers.forEach { it.cancel() }
        notes.progress("${tally.requests} requests ended")
        reverts.cancel()
    }

    private fun CoroutineScope.launchCallers(
        fleet: EntryFleet,
        endMillis: Long,
    ): List<Job> {
        val generations =
            List(GENERATION_CALLERS) { index ->
                val random = Random(index)
                val workspace = plan.workspaces[index % plan.workspaces.size]
                val caller = GenerationCaller(plan, fleet, client, notes, tally, workspace, random)
                val kind = if (index % 2 == 0) plan.longKind else plan.shortKind
                launch { repeatUntil(endMillis, GENERATION_PAUSE_MILLIS) { caller.send(kind) } }
            }
        val calls =
            List(PLAIN_CALLERS) { index ->
                val workspace = plan.workspaces[index % plan.workspaces.size]
                val caller = PlainCaller(plan, fleet, client, notes, tally, workspace, Random(-index - 1))
                launch {
                    repeatUntil(endMillis, CALL_PAUSE_MILLIS) {
                        if (index % 2 == 0) caller.lookUp() else caller.write()
                    }
                }
            }
        return generations + calls
    }

    private suspend fun repeatUntil(
        endMillis: Long,
        pauseMillis: Long,
        action: suspend () -> Unit,
    ) {
        while (notes.now() < endMillis) {
            action()
            delay(pauseMillis)
        }
    }

    private suspend fun changeThings(
        fleet: EntryFleet,
        operator: ConfigurationOperator,
    ) = coroutineScope {
        disturbAnswers()
        launch { changeZone(operator) }
        delay(STEP_MILLIS)
        notes.progress("engine ${plan.dyingEngine} dies for ${DOWN_MILLIS / 1000} s")
        standIns.engines.getValue(plan.dyingEngine).crash(DOWN_MILLIS)
        delay(STEP_MILLIS)
        launch { shutDown(fleet) }
        delay(STEP_MILLIS)
        markLeaving()
    }

    private fun disturbAnswers() {
        val desks = standIns.plainServices.values.toList()
        val now = notes.now()
        desks[0].model.applyFaults(PlainServiceFaults(listOf(AnswerFault.LOST), call = plan.write), now)
        desks[1].model.applyFaults(
            PlainServiceFaults(listOf(AnswerFault.CROSSED, AnswerFault.MISMATCHED), plan.lookup),
            now,
        )
        desks[2].model.applyFaults(PlainServiceFaults(listOf(AnswerFault.REFUSED, AnswerFault.LATE), plan.write), now)
        checkNotNull(standIns.objectStore).applyFaults(StoreFaults(lostAnswerProbability = LOST_STORE_ANSWERS))
        notes.progress("desks lose, cross and refuse answers; the object store loses one write answer in fifty")
    }

    private suspend fun changeZone(operator: ConfigurationOperator) {
        val zone = plan.changedZone
        val service = plan.engineDocument.service
        val out = operator.put(operator.withZone(plan.engineDocument, zone, isOut = true))
        notes.record(HistoryEvent.ZoneChanged(notes.now(), service, zone, isOut = true))
        val inForce = operator.awaitInForce(out)
        notes.progress("zone $zone taken out of $service, in force everywhere after $inForce ms")
        delay(ZONE_OUT_MILLIS)
        notes.record(HistoryEvent.ZoneChanged(notes.now(), service, zone, isOut = false))
        val back = operator.put(operator.withZone(plan.engineDocument, zone, isOut = false))
        notes.progress("zone $zone returned to $service, in force after ${operator.awaitInForce(back)} ms")
    }

    private suspend fun shutDown(fleet: EntryFleet) {
        notes.progress("one entry instance shuts down gracefully with its streams open")
        val id = withTimeoutOrNull(SHUTDOWN_MILLIS) { fleet.shutDownOne() }
        if (id == null) notes.violate(Promise.P8, "a graceful shutdown did not end within $SHUTDOWN_MILLIS ms")
        notes.progress("${id ?: "the entry instance"} has shut down")
    }

    private suspend fun markLeaving() {
        val id = plan.leavingEngine
        val list = checkNotNull(standIns.instanceList)
        standIns.leave(id)
        notes.progress("engine $id is leaving")
        withTimeoutOrNull(DRAIN_MILLIS) {
            while (list.model.read(notes.now()).none { it.id == id && it.state == Instance.State.LEAVING }) {
                delay(LIST_POLL_MILLIS)
            }
            notes.record(HistoryEvent.ReplicaLeaving(notes.now(), id))
        } ?: throw CommandFailure(ResultCode.INTERNAL_ERROR, "the instance list never showed $id as leaving")
    }

    private fun report(): DeploymentReport {
        checkColdStarts()
        val history =
            notes.history.snapshot().map { event ->
                if (event is HistoryEvent.TokenProduced) event.copy(run = GenerationCaller.runOf(event.text)) else event
            }
        val checked: CheckResult = HistoryChecker().check(history)
        checked.violations.forEach { notes.progress("BROKEN $it") }
        return DeploymentReport(plan.name, tally, checked, notes.violations, duplicatedRuns(history), watched(history))
    }

    /** Counts the occasions at which P2, P3 and P7 could have been broken. */
    private fun watched(history: List<HistoryEvent>): Map<Promise, Int> {
        val service = plan.engineDocument.service
        val arrivals =
            history.filterIsInstance<HistoryEvent.Dispatched>().filter { it.replica.value.startsWith(service.value) }
        val zones = history.filterIsInstance<HistoryEvent.ZoneChanged>()
        val out = zones.first { it.isOut }.atMillis + CheckBounds().zoneMillis
        val back = zones.last { !it.isOut }.atMillis
        val left =
            history.filterIsInstance<HistoryEvent.ReplicaLeaving>().first().atMillis + CheckBounds().leavingMillis
        val starts = standIns.engines.values.sumOf { it.starts - 1 } + standIns.plainServices.values.sumOf { it.starts }
        return mapOf(
            Promise.P2 to starts,
            Promise.P3 to arrivals.count { it.atMillis in out..back },
            Promise.P7 to arrivals.count { it.atMillis > left },
        )
    }

    private fun checkColdStarts() {
        standIns.engines.forEach { (id, engine) ->
            if (engine.overloadCrashes > 0) notes.violate(Promise.P2, "$id failed under too much load while cold")
        }
        standIns.plainServices.forEach { (id, desk) ->
            if (desk.model.coldOverloads > 0) {
                notes.violate(Promise.P2, "$id received ${desk.model.coldOverloads} calls too many while cold")
            }
        }
    }

    private fun duplicatedRuns(history: List<HistoryEvent>): Int {
        val keys =
            history
                .filterIsInstance<HistoryEvent.CallStarted>()
                .mapNotNull { started -> started.key?.let { started.request to it } }
                .toMap()
        return history
            .filterIsInstance<HistoryEvent.RunStarted>()
            .mapNotNull { keys[it.request] }
            .groupingBy { it }
            .eachCount()
            .values
            .sumOf { it - 1 }
    }

    private companion object {
        const val OPERATOR_CALLS_PER_SECOND = 100.0
        const val GENERATION_CALLERS = 16
        const val PLAIN_CALLERS = 6
        const val GENERATION_PAUSE_MILLIS = 50L
        const val CALL_PAUSE_MILLIS = 100L
        const val LOAD_MILLIS = 24_000L
        const val DRAIN_MILLIS = 10_000L
        const val STEP_MILLIS = 3_000L
        const val DOWN_MILLIS = 3_000L

        /** The longest generation and the resume window after it. */
        const val SHUTDOWN_MILLIS = 30_000L
        const val LIST_POLL_MILLIS = 20L
        const val LOST_STORE_ANSWERS = 0.02

        /** Longer than the 14 s within which the change must be in force, so that later dispatches are decided. */
        const val ZONE_OUT_MILLIS = 15_000L
    }
}
