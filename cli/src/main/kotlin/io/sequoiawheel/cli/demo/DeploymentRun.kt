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

/** Runs the demo at one deployment: starts it, generates load, injects failures and checks the guarantees. */
internal class DeploymentRun(
    private val plan: DemoPlan,
    printLine: (String) -> Unit,
) {
    private val recorder = DemoRecorder(plan.name, printLine)
    private val results = ResultCounter()
    private val standIns = StandInSet(plan.standIns, recorder.history)
    private val client = CallerClient()

    /** Runs the scenario and returns its results. Throws [CommandFailure] if the deployment does not start. */
    suspend fun run(): DeploymentReport {
        standIns.start()
        val platform = platformSettings()
        val transport = PlatformTransport(platform.copy(callsPerSecond = OPERATOR_CALLS_PER_SECOND))
        val fleet = EntryFleet(plan, platform, recorder)
        try {
            fleet.start()
            recorder.progress(
                "${plan.standIns.backends.size} backend servers and ${fleet.size} entry instances started",
            )
            val api = HttpObjectApi(platform.objectApi, transport)
            val operator = ConfigurationOperator(plan, api, recorder, fleet::size)
            recordReplicas()
            putDocuments(operator)
            runLoad(fleet, operator)
            operator.recordAudits()
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

    private fun recordReplicas() =
        plan.standIns.backends.forEach { backend ->
            recorder.record(HistoryEvent.ReplicaCapacity(recorder.now(), backend.id, backend.service, backend.zone))
        }

    private suspend fun putDocuments(operator: ConfigurationOperator) {
        listOf(plan.engineDocument, plan.plainDocument).forEach { document ->
            val accepted = operator.put(document)
            recorder.progress("${accepted.service} accepted as generation ${accepted.generation}")
            operator.awaitInForce(accepted)
        }
        recorder.progress("both service documents are in force at every entry instance")
    }

    private suspend fun runLoad(
        fleet: EntryFleet,
        operator: ConfigurationOperator,
    ) = coroutineScope {
        val revertWatch = launch { operator.watchReverts() }
        val end = recorder.now() + LOAD_MILLIS
        val callers = launchCallers(fleet, end)
        val disruptions = launch { runDisruptions(fleet, operator) }
        disruptions.join()
        val drained = withTimeoutOrNull(LOAD_MILLIS + DRAIN_MILLIS) { callers.joinAll() }
        if (drained == null) callers.forEach { it.cancel() }
        recorder.progress("${results.requests} requests ended")
        revertWatch.cancel()
    }

    private fun CoroutineScope.launchCallers(
        fleet: EntryFleet,
        endMillis: Long,
    ): List<Job> {
        val generations =
            List(GENERATION_CALLERS) { index ->
                val random = Random(index)
                val workspace = plan.workspaces[index % plan.workspaces.size]
                val caller = GenerationCaller(plan, fleet, client, recorder, results, workspace, random)
                val kind = if (index % 2 == 0) plan.longKind else plan.shortKind
                launch { repeatUntil(endMillis, GENERATION_PAUSE_MILLIS) { caller.send(kind) } }
            }
        val calls =
            List(PLAIN_CALLERS) { index ->
                val workspace = plan.workspaces[index % plan.workspaces.size]
                val caller = PlainCaller(plan, fleet, client, recorder, results, workspace, Random(-index - 1))
                launch {
                    repeatUntil(endMillis, CALL_PAUSE_MILLIS) {
                        if (index % 2 == 0) caller.sendLookup() else caller.sendWrite()
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
        while (recorder.now() < endMillis) {
            action()
            delay(pauseMillis)
        }
    }

    private suspend fun runDisruptions(
        fleet: EntryFleet,
        operator: ConfigurationOperator,
    ) = coroutineScope {
        injectFaults()
        launch { takeZoneOutAndBack(operator) }
        delay(DISRUPTION_INTERVAL_MILLIS)
        recorder.progress("engine ${plan.failingEngine} fails for ${ENGINE_DOWN_MILLIS / 1000} s")
        standIns.engines.getValue(plan.failingEngine).crash(ENGINE_DOWN_MILLIS)
        delay(DISRUPTION_INTERVAL_MILLIS)
        launch { shutDownEntry(fleet) }
        delay(DISRUPTION_INTERVAL_MILLIS)
        removeEngine()
    }

    private fun injectFaults() {
        val services = standIns.plainServices.values.toList()
        val now = recorder.now()
        services[0].model.applyFaults(PlainServiceFaults(listOf(AnswerFault.LOST), call = plan.writeCall), now)
        services[1].model.applyFaults(
            PlainServiceFaults(listOf(AnswerFault.CROSSED, AnswerFault.MISMATCHED), plan.lookupCall),
            now,
        )
        services[2].model.applyFaults(
            PlainServiceFaults(listOf(AnswerFault.REFUSED, AnswerFault.LATE), plan.writeCall),
            now,
        )
        checkNotNull(
            standIns.objectStore,
        ).applyFaults(StoreFaults(lostAnswerProbability = LOST_STORE_RESPONSE_PROBABILITY))
        recorder.progress(
            "plain services lose, swap and reject responses; the object store loses 1 in 50 write responses",
        )
    }

    private suspend fun takeZoneOutAndBack(operator: ConfigurationOperator) {
        val zone = plan.changedZone
        val service = plan.engineDocument.service
        val withoutZone = operator.put(operator.withZone(plan.engineDocument, zone, isOut = true))
        recorder.record(HistoryEvent.ZoneChanged(recorder.now(), service, zone, isOut = true))
        val inForce = operator.awaitInForce(withoutZone)
        recorder.progress("zone $zone taken out of $service, in force everywhere after $inForce ms")
        delay(ZONE_OUT_MILLIS)
        recorder.record(HistoryEvent.ZoneChanged(recorder.now(), service, zone, isOut = false))
        val withZone = operator.put(operator.withZone(plan.engineDocument, zone, isOut = false))
        recorder.progress("zone $zone returned to $service, in force after ${operator.awaitInForce(withZone)} ms")
    }

    private suspend fun shutDownEntry(fleet: EntryFleet) {
        recorder.progress("one entry instance shuts down gracefully with open streams")
        val id = withTimeoutOrNull(SHUTDOWN_MILLIS) { fleet.shutDownOne() }
        if (id == null) recorder.recordViolation(Promise.P8, "graceful shutdown not complete after $SHUTDOWN_MILLIS ms")
        recorder.progress("${id ?: "the entry instance"} has shut down")
    }

    private suspend fun removeEngine() {
        val id = plan.leavingEngine
        val list = checkNotNull(standIns.instanceList)
        standIns.leave(id)
        recorder.progress("engine $id is leaving")
        withTimeoutOrNull(DRAIN_MILLIS) {
            while (list.model.read(recorder.now()).none { it.id == id && it.state == Instance.State.LEAVING }) {
                delay(LIST_POLL_MILLIS)
            }
            recorder.record(HistoryEvent.ReplicaLeaving(recorder.now(), id))
        } ?: throw CommandFailure(ResultCode.INTERNAL_ERROR, "the instance list did not report $id as leaving")
    }

    private fun report(): DeploymentReport {
        checkColdStarts()
        val history =
            recorder.history.snapshot().map { event ->
                if (event is HistoryEvent.TokenProduced) event.copy(run = GenerationCaller.runId(event.text)) else event
            }
        val checked: CheckResult = HistoryChecker().check(history)
        checked.violations.forEach { recorder.progress("BROKEN $it") }
        return DeploymentReport(
            plan.name,
            results,
            checked,
            recorder.violations,
            duplicatedRuns(history),
            countOccasions(history),
        )
    }

    /** Counts the occasions on which P2, P3 and P7 could have been violated. */
    private fun countOccasions(history: List<HistoryEvent>): Map<Promise, Int> {
        val service = plan.engineDocument.service
        val arrivals =
            history.filterIsInstance<HistoryEvent.Dispatched>().filter { it.replica.value.startsWith(service.value) }
        val zones = history.filterIsInstance<HistoryEvent.ZoneChanged>()
        val outMillis = zones.first { it.isOut }.atMillis + CheckBounds().zoneMillis
        val backMillis = zones.last { !it.isOut }.atMillis
        val leavingEndMillis =
            history.filterIsInstance<HistoryEvent.ReplicaLeaving>().first().atMillis + CheckBounds().leavingMillis
        val starts = standIns.engines.values.sumOf { it.starts - 1 } + standIns.plainServices.values.sumOf { it.starts }
        return mapOf(
            Promise.P2 to starts,
            Promise.P3 to arrivals.count { it.atMillis in outMillis..backMillis },
            Promise.P7 to arrivals.count { it.atMillis > leavingEndMillis },
        )
    }

    private fun checkColdStarts() {
        standIns.engines.forEach { (id, engine) ->
            if (engine.overloadCrashes > 0) recorder.recordViolation(Promise.P2, "$id failed by overload while cold")
        }
        standIns.plainServices.forEach { (id, service) ->
            if (service.model.coldOverloads > 0) {
                recorder.recordViolation(
                    Promise.P2,
                    "$id received ${service.model.coldOverloads} excess calls while cold",
                )
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
        const val DISRUPTION_INTERVAL_MILLIS = 3_000L
        const val ENGINE_DOWN_MILLIS = 3_000L

        /** Covers the longest generation and the resume window after it. */
        const val SHUTDOWN_MILLIS = 30_000L
        const val LIST_POLL_MILLIS = 20L
        const val LOST_STORE_RESPONSE_PROBABILITY = 0.02

        /** Longer than the 14 s within which the change must be in force, so that later dispatches can be checked. */
        const val ZONE_OUT_MILLIS = 15_000L
    }
}
