/*
 * Carries out the rollouts that operators order. Every instance assesses the evidence of all and stops to send to a bad
 * version by itself. One instance of each service writes the status; the others follow it in turn if the status does
 * not change, so that no vote is needed. The status is written only if the object still has the revision that was read.
 */
package io.sequoiawheel.relay.control

import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.relay.ListReliability
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.rollout.EvidenceCell
import io.sequoiawheel.core.rollout.RolloutGate
import io.sequoiawheel.core.rollout.RolloutProgress
import io.sequoiawheel.core.rollout.RolloutReport
import io.sequoiawheel.core.rollout.RolloutShare
import io.sequoiawheel.core.rollout.RolloutStage
import io.sequoiawheel.core.rollout.RolloutTarget
import io.sequoiawheel.core.rollout.ServiceRollout
import io.sequoiawheel.platform.RolloutCodec
import io.sequoiawheel.platform.StoreObject
import io.sequoiawheel.platform.StoredRollout
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/**
 * Follows the orders in the store and writes their status. Confined to the event loop.
 *
 * @param wallClock Unix time, which the status holds for instances that start later
 */
internal class RolloutController(
    private val gate: RolloutGate,
    private val directory: ReplicaDirectory,
    private val loads: LoadExchange,
    private val contact: RolloutContact,
    private val writer: RolloutStatusWriter,
    private val clock: Clock,
    private val wallClock: Clock,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) : KindListener<ListedRollout> {
    /** What the store holds for an order, and the write that this instance wants. */
    private class Stored(
        val revision: Long,
        val stage: RolloutStage?,
    )

    private class Wanted(
        val target: RolloutTarget,
        val sinceMillis: Long,
    )

    private val progress = RolloutProgress(gate)
    private val stored = HashMap<ServiceName, Stored>()
    private val wanted = HashMap<ServiceName, Wanted>()
    private val unreadable = UnreadableNames()
    private val decoder = RolloutDecoder(gate, unreadable, log, metrics)
    private val evidenceLoggedMillis = HashMap<ServiceName, Long>()
    private var isFirstListing = true

    /** Registers the gauges of the rollouts in force. */
    fun publishGauges() {
        metrics.gauge("rollouts.active") { gate.all.count { !it.stage.isFinal } }
        metrics.gauge("rollouts.bad") { gate.all.count { it.isBad } }
        metrics.gauge("rollouts.unreadable") { unreadable.count }
        metrics.gauge("rollouts.requests.received") { gate.all.sumOf { it.received } }
        metrics.gauge("rollouts.requests.admitted") { gate.all.sumOf { it.admitted } }
    }

    override fun onListingStarted() = unreadable.clear()

    override fun decode(target: StoreObject): ListedRollout? = decoder.decode(target)

    override fun onListed(
        listing: StoreListing<ListedRollout>,
        reliability: ListReliability,
    ) {
        val names = listing.objects.map { it.name }.toSet()
        for (target in listing.objects) {
            // A restored store may hold an older order or an older status than the one that was carried out.
            if (reliability == ListReliability.NEW_ERA && isOlder(target)) continue
            adopt(target, isLate = isFirstListing)
        }
        // The status of an object that the store lost cannot be written.
        if (reliability == ListReliability.NEW_ERA) stored.keys.removeIf { it.value !in names }
        if (reliability == ListReliability.CERTAIN) {
            gate.all
                .map { it.order.service }
                .filter { it.value !in names }
                .forEach(::withdraw)
        }
        isFirstListing = false
    }

    override fun onChanged(
        change: KindChange<ListedRollout>,
        afterOutage: Boolean,
    ) {
        if (change.isDeleted) unreadable.remove(change.name)
        val content = change.content
        when {
            change.isDeleted || content?.isBeingDeleted == true -> withdraw(ServiceName(change.name))
            content != null -> adopt(content, isLate = false)
        }
    }

    /** Applies what all instances know, and writes the status if it is this instance's turn. Call it every 100 ms. */
    fun tick(known: RolloutReport): RolloutReport {
        gate.observe(directory.all())
        progress.merge(known).forEach { log.stateChange(it.text, fields(it.rollout)) }
        for (rollout in gate.all.toList()) {
            if (!rollout.stage.isFinal) assess(rollout, known) else rewriteVerdict(rollout)
            vacate(rollout)
        }
        return gate.report(directory.all())
    }

    private fun assess(
        rollout: ServiceRollout,
        known: RolloutReport,
    ) {
        val service = rollout.order.service
        val share = progress.shareOf(rollout, known)
        logEvidence(rollout, share)
        val wasBad = rollout.isBad
        val wasHeld = rollout.isHeld
        val assessment = progress.assess(rollout, known)
        if (rollout.isBad && !wasBad) {
            metrics.count("rollouts.versions", "bad")
            log.stateChange("version found bad", fields(rollout) + ("reason" to assessment.reason) + fields(share))
        }
        if (rollout.isHeld != wasHeld) {
            val text = if (rollout.isHeld) "rollout shift held" else "rollout shift resumed"
            log.stateChange(text, fields(rollout) + ("reason" to assessment.reason) + fields(share))
        }
        val target =
            when {
                isInForce(rollout) -> RolloutTarget(RolloutStage.COMPLETE, "the version is in force")
                else -> progress.target(assessment)
            }
        when {
            target != null -> want(rollout, target, share)
            stored[service]?.stage == null && rollout.stage == RolloutStage.CANARY ->
                want(rollout, RolloutTarget(RolloutStage.CANARY, "started"), share)
            else -> wanted.remove(service)
        }
    }

    private fun isInForce(rollout: ServiceRollout) =
        rollout.admitted == 0 &&
            gate.isInForce(rollout.order.version, rollout.order.service, directory.all())

    /** Writes the verdict again if the store lost it. */
    private fun rewriteVerdict(rollout: ServiceRollout) {
        val state = stored[rollout.order.service] ?: return
        if (state.stage == rollout.stage || !rollout.isReported) return
        want(rollout, RolloutTarget(rollout.stage, "verdict written again"), share = null)
    }

    /** Writes [target] once the instances that come before this one had time to. */
    private fun want(
        rollout: ServiceRollout,
        target: RolloutTarget,
        share: RolloutShare?,
    ) {
        val service = rollout.order.service
        val now = clock.nowMillis()
        val current = wanted[service]
        val since = if (current?.target?.stage == target.stage) current.sinceMillis else now
        wanted[service] = Wanted(target, since)
        val state = stored[service] ?: return
        if (state.stage == target.stage || now - since < rank(rollout) * TURN_MILLIS) return
        val orderedAtUnixMillis = wallClock.nowMillis() - rollout.elapsedMillis
        val status = RolloutCodec.encodeStatus(rollout.order, target.stage, target.reason, orderedAtUnixMillis)
        writer.write(service.value, status, state.revision) { outcome ->
            metrics.count("rollouts.status.writes", outcome.label)
            log.stateChange(
                "rollout status written",
                fields(rollout) + fields(share) +
                    mapOf("target" to target.stage.name, "reason" to target.reason, "outcome" to outcome.label),
            )
            if (outcome == StatusWriteOutcome.WRITTEN) adoptWritten(rollout, target.stage)
        }
    }

    private fun adoptWritten(
        rollout: ServiceRollout,
        stage: RolloutStage,
    ) {
        if (gate[rollout.order.service] !== rollout) return
        if (rollout.advance(stage)) logStage(rollout, "written by this instance")
    }

    /** Returns how many instances write before this one. All instances know the zones, but not those in other zones. */
    private fun rank(rollout: ServiceRollout): Int {
        val key = "${rollout.order.service.value}@${rollout.order.revision}"
        val zones = (directory.all().map { it.entry.zone } + loads.zone).map { InstanceId(it.value) }
        val instances = (loads.live().map { it.name } + loads.selfName).map(::InstanceId)
        val zoneRank = RendezvousHashing.order(key, zones).indexOf(InstanceId(loads.zone.value))
        val memberRank = RendezvousHashing.order(key, instances).indexOf(InstanceId(loads.selfName))
        return (zoneRank + memberRank).coerceAtMost(LAST_RANK)
    }

    /** Moves runs off the replicas of the old version, one replica after the other. */
    private fun vacate(rollout: ServiceRollout) {
        for (replica in directory.all()) {
            if (replica.entry.service != rollout.order.service) continue
            replica.setVacated(gate.isVacated(replica, loads.selfName))
        }
    }

    private fun adopt(
        target: ListedRollout,
        isLate: Boolean,
    ) {
        val order = target.stored ?: return
        val service = order.order.service
        val known = gate[service]
        stored[service] = Stored(target.revision, order.stage)
        if (known != null && isSameOrder(known, order)) {
            order.stage?.let { adoptStage(known, it) }
            return
        }
        wanted.remove(service)
        val elapsedMillis = if (isLate) elapsedMillis(order) else 0
        val rollout = gate.begin(order.order, order.stage ?: RolloutStage.CANARY, elapsedMillis, isLate)
        metrics.count("rollouts.orders", rollout.stage.name.lowercase())
        log.stateChange("rollout ordered", fields(rollout) + mapOf("late" to isLate, "elapsed" to elapsedMillis))
    }

    private fun isSameOrder(
        known: ServiceRollout,
        order: StoredRollout,
    ): Boolean {
        val isSameContent =
            known.order.version == order.order.version && known.order.durationMillis == order.order.durationMillis
        // A status names the order it belongs to. An order without a status whose verdict is known is a new one.
        return isSameContent &&
            (order.order.revision == known.order.revision || order.stage == null && !known.stage.isFinal)
    }

    private fun adoptStage(
        known: ServiceRollout,
        stage: RolloutStage,
    ) {
        if (stage.isFinal) {
            if (known.stage == stage) return
            known.adoptVerdict(stage)
            logStage(known, "read from the store")
        } else if (known.advance(stage)) {
            logStage(known, "read from the store")
        }
    }

    /** Whether a restored store holds an earlier state of what this instance knows. */
    private fun isOlder(target: ListedRollout): Boolean {
        val known = gate[ServiceName(target.name)] ?: return false
        val order = target.stored ?: return true
        val isSame = isSameOrder(known, order) || order.order.version == known.order.version
        if (isSame) {
            stored[known.order.service] = Stored(target.revision, order.stage)
            writer.forget(target.name)
        }
        return order.order.revision <= known.order.revision
    }

    private fun elapsedMillis(order: StoredRollout): Long {
        val sinceMillis = order.orderedAtUnixMillis?.let { wallClock.nowMillis() - it } ?: 0
        return sinceMillis.coerceIn(0, order.order.durationMillis)
    }

    private fun withdraw(service: ServiceName) {
        val rollout = gate[service] ?: return
        stored.remove(service)
        wanted.remove(service)
        gate.withdraw(service)
        directory.all().filter { it.entry.service == service }.forEach { it.setVacated(false) }
        log.stateChange("rollout withdrawn", fields(rollout))
    }

    private fun logStage(
        rollout: ServiceRollout,
        source: String,
    ) {
        metrics.count("rollouts.stages", rollout.stage.name.lowercase())
        log.stateChange("rollout stage", fields(rollout) + ("source" to source))
    }

    private fun logEvidence(
        rollout: ServiceRollout,
        share: RolloutShare?,
    ) {
        val now = clock.nowMillis()
        val last = evidenceLoggedMillis[rollout.order.service]
        if (last != null && now - last < EVIDENCE_LOG_MILLIS) return
        evidenceLoggedMillis[rollout.order.service] = now
        log.stateChange("rollout evidence", fields(rollout) + fields(share))
    }

    private fun fields(rollout: ServiceRollout): Map<String, Any?> =
        mapOf(
            "service" to rollout.order.service.value,
            "to" to rollout.order.version,
            "order" to rollout.order.revision,
            "stage" to rollout.stage.name,
            "bad" to rollout.isBad,
            "elapsedMilliseconds" to rollout.elapsedMillis,
            "received" to rollout.received,
            "admitted" to rollout.admitted,
        )

    /** The sums that a decision rests on. Their age is that of the last message from another instance. */
    private fun fields(share: RolloutShare?): Map<String, Any?> {
        if (share == null) return emptyMap()
        val routes = share.evidence.entries.take(LOGGED_ROUTES)
        return mapOf(
            "allReceived" to share.received,
            "allAdmitted" to share.admitted,
            "oldRuns" to share.oldRuns,
            "instances" to share.instances,
            "inputAgeMilliseconds" to contact.peerAgeMillis,
            "routes" to
                routes.joinToString("; ") { (route, parts) ->
                    "$route new ${counts(parts.new)} old ${counts(parts.old)}"
                },
        )
    }

    private fun counts(cell: EvidenceCell) = "${cell.failures}/${cell.responses}"

    private companion object {
        /** A write and the watch that reports it take up to 400 ms if the store is slow. */
        const val TURN_MILLIS = 500L

        /** Bounds the wait of the instances that come last, of which a few may write at the same time then. */
        const val LAST_RANK = 4

        /** One line a second and rollout. */
        const val EVIDENCE_LOG_MILLIS = 1_000L
        const val LOGGED_ROUTES = 8
    }
}
