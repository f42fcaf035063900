/*
 * Runs entry instances as processes under a plan of faults, with callers, replicas and a store around them, and checks
 * what those saw. Ends whatever it started, also when the program itself is ended.
 */
package io.sequoiawheel.soak

import io.sequoiawheel.soak.history.CheckBounds
import io.sequoiawheel.soak.history.HistoryChecker
import io.sequoiawheel.soak.plan.FaultKind
import io.sequoiawheel.soak.plan.FaultPlan
import io.sequoiawheel.soak.plan.PlannedFault
import io.sequoiawheel.soak.rig.Caller
import io.sequoiawheel.soak.rig.CallerHabits
import io.sequoiawheel.soak.rig.EntryProcess
import io.sequoiawheel.soak.rig.EntryProgram
import io.sequoiawheel.soak.rig.FaultInjector
import io.sequoiawheel.soak.rig.FaultTargets
import io.sequoiawheel.soak.rig.Recorder
import io.sequoiawheel.soak.rig.ReplicaConducts
import io.sequoiawheel.soak.rig.ReplicaPlace
import io.sequoiawheel.soak.rig.ReplicaSite
import io.sequoiawheel.soak.rig.startThread
import io.sequoiawheel.standin.platform.PlatformEntries
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import io.sequoiawheel.standin.platform.RunCopies
import java.nio.file.Files
import java.nio.file.Path

/**
 * @property program an entry program in a jar, or null for the own build
 * @property directory where logs and findings are written
 */
data class SoakOptions(
    val seed: Long,
    val seconds: Int,
    val directory: Path,
    val layout: SoakLayout = SoakLayout.plain(instances = 5, replicas = 3),
    val callers: Int = 24,
    val lastCallers: Int = 24,
    val program: Path? = null,
    val kinds: List<FaultKind> = FaultKind.entries,
    val plan: FaultPlan? = null,
)

class SoakRun(
    private val options: SoakOptions,
    private val onProgress: (String) -> Unit = {},
) : AutoCloseable {
    private val recorder = Recorder()
    private val store = PlatformStoreStandIn()
    private val layout = options.layout
    private val copies = RunCopies()
    private val callReplicas = sites("desk", PlatformEntries.CALL_SERVICE, layout.callReplicas)
    private val streamReplicas = sites("writer", PlatformEntries.STREAM_SERVICE, layout.engines)
    private val program = EntryProgram(options.program)
    private val instances =
        List(layout.instances) { number ->
            val name = "entry-${number + 1}"
            EntryProcess(name, program, options.directory, { store.port }, recorder, layout.zone(number))
        }
    private val habits =
        CallerHabits(
            layout.pace.events *
                layout.pace.eventMillis.last
                    .toInt(),
        )
    private val conducts = ReplicaConducts(callReplicas + streamReplicas, layout.conduct)
    private val targets = FaultTargets(instances, callReplicas, streamReplicas, store, habits, conducts)
    private val injector = FaultInjector(options.seed, targets, recorder, options.lastCallers)
    private val hook = Thread { instances.forEach { it.close() } }

    @Volatile
    private var isEnding = false

    @Volatile
    private var rotation = emptyList<EntryProcess>()

    init {
        Files.createDirectories(options.directory)
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Runs the plan, and returns the report once all instances have ended. */
    fun run(): SoakReport {
        store.put(
            PlatformEntries.CONFIGURATION_KIND,
            PlatformEntries.CONFIGURATION_NAME,
            PlatformEntries.configuration(1, layout.movesRuns),
        )
        instances.forEach { it.start() }
        instances.forEach { it.awaitReady() }
        rotation = instances.filter { it.isReady() }
        val startMillis = recorder.nowMillis()
        val plan =
            options.plan
                ?: FaultPlan.create(options.seed, options.seconds * MILLIS, layout.instances, options.kinds)
        val balancer = startThread { balance() }
        val callers =
            List(options.callers) { number ->
                val seed = options.seed * CALLER_SEEDS + number
                startThread { caller(seed, number).run { isEnding } }
            }
        val faults = plan.faults.map { fault -> startThread { injectAt(fault, startMillis) } }
        val reporter = startThread { reportProgress(startMillis, plan) }
        Thread.sleep(options.seconds * MILLIS)
        faults.forEach { it.join() }
        isEnding = true
        (callers + balancer + reporter).forEach { it.join() }
        val history = recorder.history()
        return SoakReport(options, plan, injector.counts(), history, checker().check(history)).also { close() }
    }

    override fun close() {
        isEnding = true
        instances.forEach { it.close() }
        (callReplicas + streamReplicas).forEach { it.close() }
        store.close()
        if (Thread.currentThread() != hook) runCatching { Runtime.getRuntime().removeShutdownHook(hook) }
    }

    /** Where streams are long, half of the callers have none, so that connections are used again soon. */
    private fun caller(
        seed: Long,
        number: Int,
    ) = if (layout.movesRuns && number % 2 == 0) {
        Caller(seed, { rotation }, recorder, habits, Caller.PLAIN_KINDS)
    } else {
        Caller(seed, { rotation }, recorder, habits)
    }

    private fun sites(
        name: String,
        service: String,
        count: Int,
    ) = List(count) { number ->
        val seed = options.seed * CALLER_SEEDS + name.length + number
        val place = ReplicaPlace(layout.zone(number), copies, layout.pace, seed)
        ReplicaSite("$name-${number + 1}", service, place, store, recorder)
    }

    private fun injectAt(
        fault: PlannedFault,
        startMillis: Long,
    ) {
        Thread.sleep(maxOf(0, startMillis + fault.atMillis - recorder.nowMillis()))
        injector.inject(fault)
    }

    /** Keeps in rotation what answered one of the last two probes; one that is out returns with its first success. */
    private fun balance() {
        val misses = HashMap<EntryProcess, Int>()
        while (!isEnding) {
            instances.forEach { misses[it] = if (it.isReady()) 0 else (misses[it] ?: 0) + 1 }
            val ready = instances.filter { (misses[it] ?: 0) < ALLOWED_MISSES }
            rotation = if (ready.size * 2 < instances.size) instances else ready
            Thread.sleep(PROBE_INTERVAL_MILLIS)
        }
    }

    private fun reportProgress(
        startMillis: Long,
        plan: FaultPlan,
    ) {
        while (!isEnding) {
            val ends = recorder.calls.groupingBy { it.end }.eachCount()
            val alive = instances.count { it.isAlive }
            val seconds = (recorder.nowMillis() - startMillis) / MILLIS
            val faults = injector.counts().values.sum()
            onProgress("$seconds s, $alive instances, $faults of ${plan.faults.size} faults, calls $ends")
            Thread.sleep(MILLIS)
        }
    }

    private fun checker() =
        HistoryChecker(
            layout.pace.events,
            { if (it.isStream) PlatformEntries.STREAM_TIMEOUT_MILLIS else PlatformEntries.CALL_TIMEOUT_MILLIS },
            CheckBounds(CONTACT_MILLIS, PlatformEntries.DRAIN_MILLIS, PlatformEntries.GRACE_MILLIS),
        )

    private companion object {
        const val MILLIS = 1_000L
        const val CONTACT_MILLIS = 3_000L
        const val PROBE_INTERVAL_MILLIS = 1_000L
        const val ALLOWED_MISSES = 2

        /** Keeps the seeds of the callers of neighbouring runs apart. */
        const val CALLER_SEEDS = 1_000L
    }
}
