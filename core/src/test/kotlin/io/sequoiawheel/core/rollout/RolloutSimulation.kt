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

/**
 * When a request is sent, and what its answer may depend on.
 *
 * @property millis time since the order
 * @property shiftedMillis time since the shift was written, or null before
 * @property replicaLoad requests of the last second at the replica, as a multiple of those that it receives if all
 *   requests go to its version
 */
internal data class Sending(
    val route: String,
    val millis: Long,
    val shiftedMillis: Long? = null,
    val replicaLoad: Double = 0.0,
)

/** How a version answers: the share of failures and the factor of its response times. */
internal fun interface VersionConduct {
    fun at(sending: Sending): Conduct

    /** @property slowness factor of the time to the first event */
    data class Conduct(
        val failureShare: Double = 0.0,
        val slowShare: Double = 0.0,
        val slowness: Double = 1.0,
    )

    companion object {
        val GOOD = VersionConduct { Conduct(failureShare = 0.003) }
    }
}

/**
 * The load that a simulated rollout meets.
 *
 * @property hasStreams whether responses on the long route are streams that go on after their first event, and that
 *   move to the new version during the shift
 */
internal data class RolloutLoad(
    val instances: Int,
    val requestsPerSecond: Double = 47.0,
    val new: VersionConduct = VersionConduct.GOOD,
    val old: VersionConduct = VersionConduct.GOOD,
    val doInstancesChange: Boolean = false,
    val slowOldShare: Double = 0.0,
    val hasStreams: Boolean = false,
    val newReplicas: Int = 1,
)

/**
 * What a simulated rollout came to.
 *
 * @property movedRuns streams that moved to the new version, which are sent to it as requests
 * @property brokenRuns streams left on the old version when the verdict ended it
 */
internal data class RolloutResult(
    val verdict: RolloutStage?,
    val verdictMillis: Long,
    val received: Int,
    val sentToNew: Int,
    val lastSendMillis: Long,
    val fiftiethBadMillis: Long?,
    val reasons: List<String>,
    val movedRuns: Int,
    val brokenRuns: Int,
)

/**
 * A rollout with seeded answers over a number of gates, in steps of 20 ms. Reports arrive after 300 to 500 ms, by zone,
 * a written stage after 100 ms, and instances that end are known to have ended 3.5 s later.
 */
internal class RolloutSimulation(
    private val load: RolloutLoad,
    seed: Long,
) {
    private class Pending(
        val observation: RolloutObservation?,
        val firstMillis: Long,
        val endMillis: Long,
        val isFailure: Boolean,
        val isBad: Boolean,
        val isNew: Boolean,
    ) {
        var hasAnswer = false
    }

    private inner class Member(
        val name: String,
        val zone: Int,
        isLate: Boolean,
    ) {
        val oldReplica = replica("old", "v1")
        val gate = RolloutGate(BOUNDS, clock, random, { load.instances }) { true }
        val progress = RolloutProgress(gate)
        val pending = ArrayList<Pending>()
        var endedMillis: Long? = null
        var report = RolloutReport.NONE

        init {
            gate.observe(listOf(oldReplica))
            gate.begin(ORDER, written.lastOrNull()?.second ?: RolloutStage.CANARY, now - ORDERED_MILLIS, isLate)
        }
    }

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private var now = ORDERED_MILLIS
    private val clock = Clock { now }
    private val newReplicas = (1..load.newReplicas).map { replica("new-$it", "v2") }
    private val sentMillis = newReplicas.associateWith { ArrayDeque<Long>() }
    private val written = ArrayList<Pair<Long, RolloutStage>>()
    private val reasons = ArrayList<String>()
    private val members = ArrayList<Member>()
    private val totals = ArrayDeque<RolloutReport>()
    private var nextName = 0
    private var received = 0
    private var sentToNew = 0
    private var lastSendMillis = 0L
    private var badAnswers = 0
    private var fiftiethBadMillis: Long? = null
    private var movedRuns = 0
    private var brokenRuns = 0

    fun run(): RolloutResult {
        repeat(load.instances) { members += member(isLate = false) }
        while (!isOver()) {
            now += STEP_MILLIS
            changeMembers()
            finishRequests()
            moveRuns()
            val count = load.requestsPerSecond * STEP_MILLIS / MILLIS_PER_SECOND
            repeat(count.toInt()) { sendRequest() }
            if (random.nextDouble() < count % 1) sendRequest()
            if (now % REPORT_MILLIS == 0L && !isSettled()) exchangeReports()
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
            movedRuns,
            brokenRuns,
        )
    }

    /** Whether the verdict has been in force for a while and the requests up to the deadline are counted. */
    private fun isOver(): Boolean {
        val elapsed = now - ORDERED_MILLIS
        return elapsed >= DURATION_MILLIS + AFTER_MILLIS || elapsed >= DURATION_MILLIS && isSettled()
    }

    private fun isSettled() =
        written.lastOrNull()?.let { it.second.isFinal && now - it.first >= SETTLE_MILLIS } ?: false

    private fun member(isLate: Boolean) = nextName++.let { Member("entry-$it", it % ZONE_DELAY_ROUNDS.size, isLate) }

    private fun live() = members.filter { it.endedMillis == null }

    private fun changeMembers() {
        if (!load.doInstancesChange || random.nextDouble() > CHANGE_CHANCE) return
        val live = live()
        if (live.size > 1 && random.nextBoolean()) {
            live[random.nextInt(live.size)].endedMillis = now
        } else {
            members += member(isLate = true)
        }
    }

    private fun sendRequest() {
        val live = live()
        val member = live[random.nextInt(live.size)]
        if (now - ORDERED_MILLIS <= DURATION_MILLIS) received++
        member.gate.recordRequest(SERVICE)
        val group =
            member.gate
                .preferences(SERVICE, newReplicas + member.oldReplica, isFirst = true)
                .first()
        val target = group[random.nextInt(group.size)]
        if (!member.gate.tryAdmit(target)) return
        start(member, target, if (random.nextDouble() < ROUTE_SHARE) "long" else "short", runMillis = null)
    }

    /** Starts a request, or a stream that moves and has [runMillis] left. */
    private fun start(
        member: Member,
        target: Replica,
        route: String,
        runMillis: Long?,
    ) {
        val elapsed = now - ORDERED_MILLIS
        val isNew = target !== member.oldReplica
        val shiftedMillis = written.firstOrNull { it.second == RolloutStage.SHIFTING }?.let { now - it.first }
        val sending = Sending(route, elapsed, shiftedMillis, if (isNew) replicaLoad(target) else 0.0)
        val conduct = (if (isNew) load.new else load.old).at(sending)
        val isFailure = random.nextDouble() < conduct.failureShare
        val isSlow = random.nextDouble() < conduct.slowShare
        if (isNew) {
            sentToNew++
            lastSendMillis = elapsed
        } else {
            member.oldReplica.load.begin(0)
        }
        val firstMillis = now + answerMillis(route, isNew, if (isSlow) conduct.slowness else 1.0)
        val endMillis = firstMillis + (runMillis ?: streamMillis(route))
        val observation = member.gate[SERVICE]?.evidence?.begin(route, isNew)
        member.pending +=
            Pending(observation, firstMillis, endMillis, isFailure, isFailure || isSlow && isNew, isNew)
    }

    private fun answerMillis(
        route: String,
        isNew: Boolean,
        slowness: Double,
    ): Long {
        val usual = exp(ln(if (route == "long") 400.0 else 150.0) + random.nextDouble() - 0.5)
        val isSlowMachine = !isNew && random.nextDouble() < load.slowOldShare
        return (usual * slowness * (if (isSlowMachine) SLOW_MACHINE else 1.0)).toLong()
    }

    private fun streamMillis(route: String): Long {
        if (!load.hasStreams || route != "long") return 0
        return (-ln(1 - random.nextDouble()) * STREAM_MILLIS).toLong()
    }

    /** Records a request to [replica] of the new version, and returns the load on it. */
    private fun replicaLoad(replica: Replica): Double {
        val recent = sentMillis.getValue(replica)
        recent.addLast(now)
        while (now - recent.first() > MILLIS_PER_SECOND) recent.removeFirst()
        return recent.size * load.newReplicas / load.requestsPerSecond
    }

    private fun finishRequests() {
        for (member in members) {
            for (request in member.pending.filter { !it.hasAnswer && it.firstMillis <= now }) {
                request.hasAnswer = true
                if (request.isFailure) request.observation?.recordFailure() else request.observation?.recordFirstEvent()
                request.observation?.end()
                if (request.isNew && request.isBad && ++badAnswers == COUNTED_BAD) {
                    fiftiethBadMillis = now - ORDERED_MILLIS
                }
            }
            val done = member.pending.filter { it.hasAnswer && (it.isFailure || it.endMillis <= now) }
            done.forEach { if (!it.isNew) member.oldReplica.load.end(0) }
            member.pending -= done.toSet()
        }
    }

    private fun moveRuns() {
        for (member in live()) {
            if (!member.gate.isVacated(member.oldReplica, member.name)) continue
            for (run in member.pending.filter { !it.isNew && it.hasAnswer }) {
                val target = newReplicas[random.nextInt(newReplicas.size)]
                if (!member.gate.mayMove(member.oldReplica, target) || !member.gate.tryAdmit(target)) break
                member.pending -= run
                member.oldReplica.load.end(0)
                movedRuns++
                start(member, target, "long", run.endMillis - now)
            }
        }
    }

    private fun exchangeReports() {
        live().forEach { it.report = it.gate.report(newReplicas + it.oldReplica) }
        val (ended, heard) =
            members.partition { member -> member.endedMillis?.let { now - it > SILENT_MILLIS } ?: false }
        val reports = heard.map { it.report }
        totals.addLast(RolloutReport.sum(reports + ended.map { it.report.ended(reports) }))
        val seen = written.lastOrNull { now - it.first >= STORE_DELAY_MILLIS }?.second
        for ((zone, members) in live().groupBy { it.zone }) {
            val known = totals.getOrNull(totals.size - 1 - ZONE_DELAY_ROUNDS[zone]) ?: RolloutReport.NONE
            for (member in members) {
                member.progress.merge(known)
                seen?.let { member.gate[SERVICE]?.advance(it) }
            }
            assess(members, known)
        }
    }

    /** Assesses what the instances of a zone know, which is the same for all of them. */
    private fun assess(
        members: List<Member>,
        known: RolloutReport,
    ) {
        val decider = members.minBy { it.name }
        val rollout = decider.gate[SERVICE]?.takeIf { !it.stage.isFinal } ?: return
        val assessment = decider.progress.assess(rollout, known)
        members.forEach { it.gate[SERVICE]?.hold(assessment.isSuspect) }
        if (assessment.step == RolloutStep.REVERT) members.forEach { it.gate[SERVICE]?.markBad() }
        val target = decider.progress.target(assessment) ?: return
        reasons += "${now - ORDERED_MILLIS}: ${target.stage} ${target.reason}"
        val last = written.lastOrNull()?.second
        if (last?.isFinal == true || target.stage == last) return
        written += now to target.stage
        if (target.stage == RolloutStage.COMPLETE) {
            brokenRuns = live().sumOf { member -> member.pending.count { !it.isNew } }
        }
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
        private const val SETTLE_MILLIS = 1_500L
        private const val STEP_MILLIS = 20L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val REPORT_MILLIS = 100L
        private const val STORE_DELAY_MILLIS = 100L
        private const val SILENT_MILLIS = 3_500L
        private const val SLOTS = 24

        /** Rounds of reports until the reports of the others arrive in each zone. */
        private val ZONE_DELAY_ROUNDS = listOf(3, 4, 5)

        /** Mean time of a stream after its first event. */
        private const val STREAM_MILLIS = 1_500.0
        private const val ROUTE_SHARE = 0.35
        private const val SLOW_MACHINE = 3.0
        private const val COUNTED_BAD = 50

        /** About one instance starts or ends per second. */
        private const val CHANGE_CHANCE = 0.02
    }
}
