/*
 * Carries out the faults of a plan on processes, replicas, paths and the store, and records when each of them lasted.
 */
package io.sequoiawheel.soak.rig

import io.sequoiawheel.soak.history.CallKind
import io.sequoiawheel.soak.history.DisturbanceKind
import io.sequoiawheel.soak.plan.FaultKind
import io.sequoiawheel.soak.plan.Path
import io.sequoiawheel.soak.plan.PlannedFault
import io.sequoiawheel.standin.platform.PlatformEntries
import io.sequoiawheel.standin.platform.PlatformStoreStandIn
import org.apache.commons.rng.simple.RandomSource
import java.io.IOException
import java.util.EnumMap
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger

/** What faults can be carried out on. */
class FaultTargets(
    val instances: List<EntryProcess>,
    val callReplicas: List<ReplicaSite>,
    val streamReplicas: List<ReplicaSite>,
    val store: PlatformStoreStandIn,
    val habits: CallerHabits,
    val conducts: ReplicaConducts,
)

class FaultInjector(
    private val seed: Long,
    private val targets: FaultTargets,
    private val recorder: Recorder,
    private val lastCallers: Int,
) {
    private val instances = targets.instances
    private val streamReplicas = targets.streamReplicas
    private val store = targets.store
    private val impatience = AtomicInteger()
    private val activeParts = Semaphore(MAXIMUM_PARTS)
    private val counts = EnumMap<FaultKind, AtomicInteger>(FaultKind::class.java)

    /** How often each kind of fault was carried out. */
    fun counts(): Map<FaultKind, Int> = counts.mapValues { it.value.get() }

    /** Carries out [fault] and returns when it is over. */
    fun inject(fault: PlannedFault) {
        synchronized(counts) { counts.getOrPut(fault.kind) { AtomicInteger() } }.incrementAndGet()
        val instance = instances[fault.target % instances.size]
        val replicas = targets.callReplicas + streamReplicas
        val replica = replicas[fault.target % replicas.size]
        when (fault.kind) {
            FaultKind.SHUTDOWN -> shutDown(instance, fault)
            FaultKind.PAUSE_BEFORE_SHUTDOWN -> pauseAndShutDown(instance, fault)
            FaultKind.PAUSE -> pause(instance, fault.durationMillis)
            FaultKind.KILL -> kill(instance, fault)
            FaultKind.RELOAD -> during(DisturbanceKind.RELOAD, instance.name) { instance.signal("HUP") }
            FaultKind.REPLICA_CRASH, FaultKind.REPLICA_DEPARTURE -> end(replica, fault)
            FaultKind.ODD_ENTRY -> addOddEntry(fault)
            FaultKind.STORE_OUTAGE -> loseStore(fault)
            FaultKind.CRASHING_PART -> crashOnPart(fault)
            FaultKind.CALLERS_LEAVE -> leave(fault.durationMillis)
            FaultKind.STUBBORN_SOURCE, FaultKind.KILL_DURING_MOVE -> moveStreams(instance, fault)
            in ReplicaConducts.KINDS -> changeConduct(fault)
            else -> disturbPath(fault, instance, replica)
        }
    }

    private fun changeConduct(fault: PlannedFault) {
        val change = { targets.conducts.during(fault) { Thread.sleep(fault.durationMillis) } }
        if (fault.kind in REFUSALS) during(DisturbanceKind.REFUSALS, "replicas", change) else change()
    }

    private fun during(
        kind: DisturbanceKind,
        target: String,
        body: () -> Unit,
    ) {
        val end = recorder.disturb(kind, target)
        try {
            body()
        } finally {
            end()
        }
    }

    private fun shutDown(
        instance: EntryProcess,
        fault: PlannedFault,
    ) {
        val callers = LastCallers(instance, recorder, seed + fault.atMillis)
        callers.connect(lastCallers)
        during(DisturbanceKind.SHUTDOWN, instance.name) {
            instance.signal("TERM")
            callers.send()
            instance.awaitEnd(PlatformEntries.GRACE_MILLIS)
        }
        restart(instance)
    }

    private fun pauseAndShutDown(
        instance: EntryProcess,
        fault: PlannedFault,
    ) {
        pause(instance, fault.durationMillis)
        Thread.sleep(PAUSE_TO_SHUTDOWN_MILLIS)
        shutDown(instance, fault)
    }

    private fun pause(
        instance: EntryProcess,
        millis: Long,
    ) = during(DisturbanceKind.PAUSE, instance.name) {
        instance.signal("STOP")
        Thread.sleep(millis)
        instance.signal("CONT")
    }

    private fun kill(
        instance: EntryProcess,
        fault: PlannedFault,
    ) {
        during(DisturbanceKind.KILL, instance.name) {
            instance.signal("KILL")
            instance.awaitEnd(PlatformEntries.GRACE_MILLIS)
            Thread.sleep(fault.durationMillis)
        }
        restart(instance)
    }

    private fun restart(instance: EntryProcess) {
        instance.start()
        if (!store.isDown) instance.awaitReady()
    }

    private fun leave(millis: Long) {
        impatience.incrementAndGet()
        targets.habits.isImpatient = true
        Thread.sleep(millis)
        if (impatience.decrementAndGet() == 0) targets.habits.isImpatient = false
    }

    /** Lets an engine leave, so that its streams move. */
    private fun moveStreams(
        instance: EntryProcess,
        fault: PlannedFault,
    ) {
        val engine = streamReplicas[fault.target % streamReplicas.size]
        if (fault.kind == FaultKind.STUBBORN_SOURCE) {
            return targets.conducts.during(fault) { synchronized(engine) { engine.depart(fault.durationMillis) } }
        }
        val departure = startThread { synchronized(engine) { engine.depart(0) } }
        Thread.sleep(fault.variant * MILLIS_PER_VARIANT)
        if (fault.variant % 2 == 0) kill(instance, fault) else shutDown(instance, fault)
        departure.join()
    }

    private fun end(
        replica: ReplicaSite,
        fault: PlannedFault,
    ) = synchronized(replica) {
        if (fault.kind == FaultKind.REPLICA_CRASH) {
            replica.crash(fault.durationMillis)
        } else {
            replica.depart(fault.durationMillis)
        }
    }

    private fun addOddEntry(fault: PlannedFault) {
        val entries = PlatformEntries.oddReplicas().toList()
        val (name, entry) = entries[fault.variant % entries.size]
        during(DisturbanceKind.ODD_ENTRY, name) { store.put(PlatformEntries.REPLICA_KIND, "odd-$name", entry) }
    }

    private fun loseStore(fault: PlannedFault) =
        during(DisturbanceKind.STORE, "store") {
            store.isDown = true
            Thread.sleep(fault.durationMillis)
            store.isDown = false
        }

    /** Sends calls with a part on which every replica crashes to all instances, no two alike. */
    private fun crashOnPart(fault: PlannedFault) {
        // More parts at a time would leave no replica for the calls of others, whatever the instances do.
        if (!activeParts.tryAcquire()) return
        try {
            sendCrashingCalls(fault)
        } finally {
            activeParts.release()
        }
    }

    private fun sendCrashingCalls(fault: PlannedFault) {
        val part = "dead%x".format(fault.atMillis)
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + fault.atMillis)
        val endMillis = recorder.nowMillis() + PART_MILLIS + fault.durationMillis
        streamReplicas.forEach { site -> synchronized(site) { site.crashingParts += part } }
        while (recorder.nowMillis() < endMillis) {
            val instance = instances[random.nextInt(instances.size)]
            val kind = if (random.nextBoolean()) CallKind.STREAM else CallKind.RESUMABLE_STREAM
            startThread { callOnce(instance, kind, listOf(PromptParts.FIRST, part)) }
            Thread.sleep(random.nextInt(LONGEST_PART_GAP_MILLIS).toLong())
        }
        streamReplicas.forEach { site -> synchronized(site) { site.crashingParts -= part } }
    }

    private fun callOnce(
        instance: EntryProcess,
        kind: CallKind,
        parts: List<String>,
    ) {
        try {
            CallerSession(instance.name, instance.callerPath.port, recorder).use { it.call(kind, parts = parts) }
        } catch (_: IOException) {
            // The instance is down, as a fault of its own.
            return
        }
    }

    private fun disturbPath(
        fault: PlannedFault,
        instance: EntryProcess,
        replica: ReplicaSite,
    ) {
        val (proxy, kind, target) =
            when (fault.path) {
                Path.CALLER -> Triple(instance.callerPath, DisturbanceKind.CALLER_PATH, instance.name)
                Path.REPLICA -> Triple(replica.path, DisturbanceKind.REPLICA_PATH, replica.id)
                Path.STORE -> Triple(instance.storePath, DisturbanceKind.STORE, "store")
            }
        if (fault.kind == FaultKind.PATH_TORN_WRITES || fault.kind == FaultKind.PATH_DELAY) {
            proxy.mode = if (fault.kind == FaultKind.PATH_DELAY) ProxyMode.DELAY else ProxyMode.TORN
            Thread.sleep(fault.durationMillis)
            proxy.mode = ProxyMode.PASS
            return
        }
        during(kind, target) {
            when (fault.kind) {
                FaultKind.PATH_RESET -> proxy.resetAll()
                FaultKind.PATH_IDLE_DROP -> proxy.dropIdle(IDLE_MILLIS)
                else -> {
                    proxy.mode = if (fault.kind == FaultKind.PATH_SILENCE) ProxyMode.SILENT else ProxyMode.ONE_WAY
                    Thread.sleep(fault.durationMillis)
                    proxy.mode = ProxyMode.PASS
                }
            }
        }
    }

    private companion object {
        val REFUSALS = setOf(FaultKind.REFUSAL, FaultKind.REPEATED_REFUSAL)

        /** A pause excuses losses for the contact time of 3 s; an instance ends 2.6 s after SIGTERM at the earliest. */
        const val PAUSE_TO_SHUTDOWN_MILLIS = 500L

        /** Variants give delays of up to 300 ms. */
        const val MILLIS_PER_VARIANT = 20L
        const val IDLE_MILLIS = 30L

        /** Covers the fifth crash, the time until calls have to be contained, and some time after it. */
        const val PART_MILLIS = 14_000L
        const val LONGEST_PART_GAP_MILLIS = 500
        const val MAXIMUM_PARTS = 2
    }
}
