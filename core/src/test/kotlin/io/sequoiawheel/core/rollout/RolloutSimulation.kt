package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.core.relay.RolloutBounds
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.exp
import kotlin.math.ln

/** How a version answers: the share of failures and the factor of its response times, at [millis] after the order. */
internal fun interface VersionConduct {
    fun at(
        route: String,
        millis: Long,
    ): Conduct

    /** @property slowness factor of the time to the first event */
    data class Conduct(
        val failureShare: Double = 0.0,
        val slowShare: Double = 0.0,
        val slowness: Double = 1.0,
    )

    companion object {
        val GOOD = VersionConduct { _, _ -> Conduct(failureShare = 0.003) }
    }
}

/** The load that a simulated rollout meets. */
internal data class RolloutLoad(
    val instances: Int,
    val requestsPerSecond: Double = 47.0,
    val new: VersionConduct = VersionConduct.GOOD,
    val old: VersionConduct = VersionConduct.GOOD,
    val doInstancesChange: Boolean = false,
    val slowOldShare: Double = 0.0,
)

/** What a simulated rollout came to. */
internal data class RolloutResult(
    val verdict: RolloutStage?,
    val verdictMillis: Long,
    val received: Int,
    val sentToNew: Int,
    val lastSendMillis: Long,
    val fiftiethBadMillis: Long?,
    val reasons: List<String>,
)

/**
 * A rollout over simulated instances, in steps of 20 ms. Reports arrive after 300 to 500 ms, a written stage after
 * 100 ms, and instances that end are missing from the reports 3.5 s later.
 */
internal class RolloutSimulation(
    private val load: RolloutLoad,
    seed: Long,
) {
    private class Pending(
        val observation: RolloutObservation?,
        val doneMillis: Long,
        val isFailure: Boolean,
        val isBad: Boolean,
        val isNew: Boolean,
    )

    private inner class Member(
        val name: String,
        isLate: Boolean,
    ) {
        val gate = RolloutGate(BOUNDS, clock, random, { load.instances }) { true }
        val progress = RolloutProgress(gate)
        val pending = ArrayList<Pending>()
        var endedMillis: Long? = null
        val history = ArrayDeque<RolloutReport>()

        init {
            gate.observe(listOf(oldReplica))
            gate.begin(ORDER, written.lastOrNull()?.second ?: RolloutStage.CANARY, now - ORDERED_MILLIS, isLate)
        }
    }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private var now = ORDERED_MILLIS
    private val clock = Clock { now }
    private val oldReplica = replica("old", "v1")
    private val newReplica = replica("new", "v2")
    private val written = ArrayList<Pair<Long, RolloutStage>>()
    private val reasons = ArrayList<String>()
    private val members = ArrayList<Member>()
    private var nextName = 0
    private var received = 0
    private var sentToNew = 0
    private var lastSendMillis = 0L
    private var badAnswers = 0
    private var fiftiethBadMillis: Long? = null

    fun run(): RolloutResult {
        repeat(load.instances) { members += Member("entry-${nextName++}", isLate = false) }
        while (now < ORDERED_MILLIS + DURATION_MILLIS + AFTER_MILLIS) {
            now += STEP_MILLIS
            changeMembers()
            finishRequests()
            sendRequests()
            if (now % REPORT_MILLIS == 0L) exchangeReports()
        }
        val verdict = written.lastOrNull()?.takeIf { it.second.isFinal }
        return RolloutResult(
            verdict?.second,
            (verdict?.first ?: now) - ORDERED_MILLIS,
            received,
            sentToNew,
            lastSendMillis,
            fiftiethBadMillis,
            reasons,
        )
    }

    private fun live() = members.filter { it.endedMillis == null }

    private fun changeMembers() {
        if (!load.doInstancesChange || random.nextDouble() > CHANGE_CHANCE) return
        val live = live()
        if (live.size > 1 && random.nextBoolean()) {
            live[random.nextInt(live.size)].endedMillis = now
        } else {
            members += Member("entry-${nextName++}", isLate = true)
        }
    }

    private fun sendRequests() {
        if (random.nextDouble() >= load.requestsPerSecond * STEP_MILLIS / MILLIS_PER_SECOND) return
        val live = live()
        val member = live[random.nextInt(live.size)]
        val elapsed = now - ORDERED_MILLIS
        if (elapsed <= DURATION_MILLIS) received++
        member.gate.recordRequest(SERVICE)
        val usable = listOf(oldReplica, newReplica)
        val target =
            member.gate
                .preferences(SERVICE, usable, isFirst = true)
                .first()
                .first()
        if (!member.gate.tryAdmit(target)) return
        val isNew = target === newReplica
        val route = if (random.nextDouble() < ROUTE_SHARE) "long" else "short"
        val conduct = (if (isNew) load.new else load.old).at(route, elapsed)
        val isFailure = random.nextDouble() < conduct.failureShare
        val isSlow = random.nextDouble() < conduct.slowShare
        val usual = exp(ln(if (route == "long") 400.0 else 150.0) + random.nextDouble() - 0.5)
        val isSlowMachine = !isNew && random.nextDouble() < load.slowOldShare
        val factor = (if (isSlow) conduct.slowness else 1.0) * (if (isSlowMachine) SLOW_MACHINE else 1.0)
        if (isNew) {
            sentToNew++
            lastSendMillis = elapsed
        }
        val observation = member.gate[SERVICE]?.evidence?.begin(route, isNew)
        member.pending +=
            Pending(observation, now + (usual * factor).toLong(), isFailure, isFailure || isSlow && isNew, isNew)
    }

    private fun finishRequests() {
        for (member in members) {
            val done = member.pending.filter { it.doneMillis <= now }
            member.pending -= done.toSet()
            for (request in done) {
                if (request.isFailure) request.observation?.recordFailure() else request.observation?.recordFirstEvent()
                request.observation?.end()
                if (request.isNew && request.isBad && ++badAnswers == COUNTED_BAD) {
                    fiftiethBadMillis = now - ORDERED_MILLIS
                }
            }
        }
    }

    private fun exchangeReports() {
        for (member in live()) member.history.addLast(member.gate.report(listOf(oldReplica, newReplica)))
        val heard =
            members
                .filter { member -> member.endedMillis?.let { now - it <= SILENT_MILLIS } ?: true }
                .mapNotNull { it.history.getOrNull(it.history.size - 1 - REPORT_DELAY_ROUNDS) }
        val known = RolloutReport.sum(heard)
        val seen = written.lastOrNull { now - it.first >= STORE_DELAY_MILLIS }?.second
        for (member in live()) {
            member.progress.merge(known)
            seen?.let { member.gate[SERVICE]?.advance(it) }
        }
        // All instances know the same here, so the first one assesses for all of them.
        val decider = live().minBy { it.name }
        val rollout = decider.gate[SERVICE]?.takeIf { !it.stage.isFinal } ?: return
        val assessment = decider.progress.assess(rollout, known)
        if (assessment.step == RolloutStep.REVERT) live().forEach { it.gate[SERVICE]?.markBad() }
        val target = decider.progress.target(assessment) ?: return
        val last = written.lastOrNull()?.second
        if (last?.isFinal != true && target.stage != last) written += now to target.stage
        reasons += "${now - ORDERED_MILLIS}: ${target.stage} ${target.reason}"
    }

    private fun replica(
        id: String,
        version: String,
    ) = Replica(
        ReplicaEntry(InstanceId(id), SERVICE, "127.0.0.1", 1, ZoneName("a"), SLOTS, false, 0, 1, version),
        clock = clock,
    )

    companion object {
        val BOUNDS = RolloutBounds(canaryShare = 0.1, canaryMargin = 50, rollbackMillis = 5_000)
        const val DURATION_MILLIS = 12_000L
        private val SERVICE = ServiceName("huvo11a")
        private val ORDER = RolloutOrder(SERVICE, "v2", DURATION_MILLIS, revision = 7)
        private const val ORDERED_MILLIS = 1_000L
        private const val AFTER_MILLIS = 6_000L
        private const val STEP_MILLIS = 20L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val REPORT_MILLIS = 100L
        private const val REPORT_DELAY_ROUNDS = 4
        private const val STORE_DELAY_MILLIS = 100L
        private const val SILENT_MILLIS = 3_500L
        private const val SLOTS = 24
        private const val ROUTE_SHARE = 0.35
        private const val SLOW_MACHINE = 3.0
        private const val COUNTED_BAD = 50

        /** About one instance starts or ends per second. */
        private const val CHANGE_CHANCE = 0.02
    }
}
