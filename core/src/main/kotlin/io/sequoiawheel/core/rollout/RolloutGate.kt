/*
 * Decides which versions of a service may receive requests. Before an order, and outside of one, a version that appears
 * beside the known ones receives nothing, since its replicas may be listed before the order is.
 */
package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.membership.RendezvousHashing
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.RolloutBounds
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.ceil

/**
 * The orders that one instance knows, and what they allow. Confined to one thread.
 *
 * @param instanceCount returns an upper estimate of the number of instances
 * @param isInContact whether this instance would learn from the store or from the other instances that a version is bad
 */
class RolloutGate(
    private val bounds: RolloutBounds,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val instanceCount: () -> Int,
    private val isInContact: () -> Boolean,
) {
    private val rollouts = LinkedHashMap<ServiceName, ServiceRollout>()
    private val established = HashMap<ServiceName, Set<String?>>()

    /** Revisions of the latest orders that were withdrawn, of which late messages may still tell. */
    private val withdrawn = HashMap<ServiceName, Long>()

    /** The newest order of each service. */
    val all: Collection<ServiceRollout> get() = rollouts.values

    operator fun get(service: ServiceName): ServiceRollout? = rollouts[service]

    /**
     * Starts to carry out [order], which is [elapsedMillis] old.
     *
     * @param isLate whether this instance learned of it only after it had started, or from another instance
     */
    fun begin(
        order: RolloutOrder,
        stage: RolloutStage,
        elapsedMillis: Long = 0,
        isLate: Boolean = false,
    ): ServiceRollout {
        val budget =
            CanaryBudget(bounds, order.durationMillis, instanceCount(), hasMargin = !isLate, random.nextDouble(), clock)
        settle(order.service)
        return ServiceRollout(order, stage, clock.nowMillis() - elapsedMillis, budget, clock)
            .also { rollouts[order.service] = it }
    }

    /** Forgets the order for [service]; the versions that it allowed stay. */
    fun withdraw(service: ServiceName) {
        val rollout = rollouts[service] ?: return
        withdrawn[service] = rollout.order.revision
        settle(service)
    }

    /** Whether an order of [revision] for [service] is newer than those that this instance knows. */
    fun isNews(
        service: ServiceName,
        revision: Long,
    ): Boolean = revision > maxOf(rollouts[service]?.order?.revision ?: 0, withdrawn[service] ?: 0)

    /** Replaces the order of [service] by the versions that it allowed. */
    private fun settle(service: ServiceName) {
        val rollout = rollouts.remove(service) ?: return
        val known = established[service].orEmpty()
        established[service] =
            when (rollout.stage) {
                RolloutStage.COMPLETE -> setOf(rollout.order.version)
                else -> known - rollout.order.version
            }
    }

    /**
     * Records the versions of services that were unknown so far. Call it at each change of the listed [replicas]: a
     * version that is listed before the first call counts as known.
     */
    fun observe(replicas: Collection<Replica>) {
        for ((service, members) in replicas.filter { !it.isLeaving }.groupBy { it.entry.service }) {
            if (established[service].isNullOrEmpty()) established[service] = members.map { it.entry.version }.toSet()
        }
    }

    /** Whether all [replicas] of a service that may receive requests without an order are of [version]. */
    fun isInForce(
        version: String,
        service: ServiceName,
        replicas: Collection<Replica>,
    ): Boolean {
        val known = established[service].orEmpty()
        val used = replicas.filter { it.entry.service == service && !it.isLeaving && it.entry.version in known }
        return used.isNotEmpty() && used.all { it.entry.version == version }
    }

    /** Records a request for [service], wherever it is sent. */
    fun recordRequest(service: ServiceName) {
        rollouts[service]?.budget?.recordRequest()
    }

    /** Whether [replica] may receive a request now, apart from what limits it otherwise. */
    fun mayReceive(replica: Replica): Boolean {
        val rollout = rollouts[replica.entry.service] ?: return isEstablished(replica)
        return when (rollout.stage) {
            RolloutStage.CANARY ->
                if (isHeldBack(replica, rollout)) isOpen(rollout) && rollout.budget.mayAdmit else isEstablished(replica)
            RolloutStage.SHIFTING -> if (isHeldBack(replica, rollout)) isOpen(rollout) else isEstablished(replica)
            RolloutStage.COMPLETE -> isNew(replica, rollout)
            RolloutStage.REVERTED -> !isNew(replica, rollout) && isEstablished(replica)
        }
    }

    /** Takes the permission to send a request to [replica], or returns false. Call it immediately before sending. */
    fun tryAdmit(replica: Replica): Boolean {
        if (!mayReceive(replica)) return false
        val rollout = rollouts[replica.entry.service] ?: return true
        if (!isHeldBack(replica, rollout)) return true
        if (rollout.stage == RolloutStage.CANARY) return rollout.budget.tryAdmit()
        rollout.budget.recordUnbudgeted()
        return true
    }

    /**
     * Returns groups of the [usable] replicas of [service] for a request, in order of preference. A request that is
     * sent again before anything of its response was delivered goes to the old version.
     *
     * @param isFirst whether the request is sent for the first time
     * @param running version that sent events of the response, with which it must go on while the order is active
     */
    fun preferences(
        service: ServiceName,
        usable: List<Replica>,
        isFirst: Boolean,
        running: Replica? = null,
    ): List<List<Replica>> {
        val rollout =
            rollouts[service]?.takeUnless(::isForOnlyVersion)
                ?: return listOf(usable.filter(::isEstablished).ifEmpty { usable })
        val (new, others) = usable.partition { isNew(it, rollout) }
        // A version that an earlier order held back stays so.
        val old = others.filter(::isEstablished).ifEmpty { others }
        val open = new.filter(::mayReceive)
        return when (rollout.stage) {
            RolloutStage.COMPLETE -> listOf(new)
            RolloutStage.REVERTED -> listOf(old)
            RolloutStage.CANARY -> canaryPreferences(rollout, open, old, isFirst, running)
            RolloutStage.SHIFTING -> shiftPreferences(rollout, open, old, isFirst, running)
        }.filter { it.isNotEmpty() }
    }

    private fun canaryPreferences(
        rollout: ServiceRollout,
        open: List<Replica>,
        old: List<Replica>,
        isFirst: Boolean,
        running: Replica?,
    ) = when {
        running != null -> listOf(if (isNew(running, rollout)) open else old)
        isFirst -> listOf(canaries(rollout, open, CANARY_REPLICA_SHARE), old)
        else -> listOf(old)
    }

    private fun shiftPreferences(
        rollout: ServiceRollout,
        open: List<Replica>,
        old: List<Replica>,
        isFirst: Boolean,
        running: Replica?,
    ): List<List<Replica>> {
        val share = rollout.shiftedShare(bounds.canaryShare)
        return when {
            running != null && isNew(running, rollout) -> listOf(open)
            share >= 1 -> listOf(open, old)
            isFirst && random.nextDouble() < share -> listOf(canaries(rollout, open, share), open, old)
            else -> listOf(old, open)
        }
    }

    /** Whether a run on [source] may be copied to [destination], or go on there. */
    fun mayMove(
        source: Replica,
        destination: Replica,
    ): Boolean {
        val rollout = rollouts[source.entry.service] ?: return mayReceive(destination)
        if (!mayReceive(destination)) return false
        val isSame = isNew(source, rollout) == isNew(destination, rollout)
        return when (rollout.stage) {
            RolloutStage.CANARY -> isSame
            RolloutStage.SHIFTING -> if (rollout.isRampOver) isNew(destination, rollout) else isSame
            RolloutStage.COMPLETE, RolloutStage.REVERTED -> true
        }
    }

    /** Whether the runs of [instance], the name of this one, on [replica] should move to another version now. */
    fun isVacated(
        replica: Replica,
        instance: String,
    ): Boolean {
        val rollout = rollouts[replica.entry.service] ?: return false
        if (isNew(replica, rollout)) return false
        if (rollout.stage != RolloutStage.SHIFTING) return rollout.stage == RolloutStage.COMPLETE
        if (rollout.isBad || rollout.isHeld) return false
        val plan = rollout.plan
        // Instances begin with different replicas, so that runs do not arrive at the new version all at once.
        val offset = Math.floorMod((instance + replica.entry.id.value).hashCode(), plan.moveSpreadMillis.toInt())
        return rollout.rampedMillis >= plan.rampMillis + offset
    }

    /** Returns what the other instances should know, given all known [replicas]. */
    fun report(replicas: Collection<Replica>): RolloutReport {
        val reported = rollouts.values.filter { it.isReported }
        if (reported.isEmpty()) return RolloutReport.NONE
        return RolloutReport(reported.map { it.share(oldRuns(it, replicas)) }.sortedBy { it.service })
    }

    private fun oldRuns(
        rollout: ServiceRollout,
        replicas: Collection<Replica>,
    ) = replicas
        .filter { it.entry.service == rollout.order.service && !isNew(it, rollout) }
        .sumOf { it.load.running }

    /**
     * Returns [share] of the replicas of the new version, which receive the requests sent to it for now. All instances
     * choose the same ones, so that the load on each is like that after the rollout.
     */
    private fun canaries(
        rollout: ServiceRollout,
        open: List<Replica>,
        share: Double,
    ): List<Replica> {
        val count = ceil(open.size * maxOf(share, CANARY_REPLICA_SHARE)).toInt().coerceAtLeast(MINIMUM_CANARIES)
        val key = "${rollout.order.service.value}@${rollout.order.revision}"
        val chosen = RendezvousHashing.subset(key, open.map { it.entry.id }, count).toSet()
        return open.filter { it.entry.id in chosen && !it.isCold }.ifEmpty { open }
    }

    private fun isOpen(rollout: ServiceRollout) = !rollout.isBad && isInContact()

    private fun isNew(
        replica: Replica,
        rollout: ServiceRollout,
    ) = replica.entry.version == rollout.order.version

    /** Whether [replica] is of a version that receives requests only as far as the order allows. */
    private fun isHeldBack(
        replica: Replica,
        rollout: ServiceRollout,
    ) = isNew(replica, rollout) && !isForOnlyVersion(rollout)

    /** Whether no other version than that of the order received requests before it. Its verdict is due at once. */
    private fun isForOnlyVersion(rollout: ServiceRollout) =
        !rollout.stage.isFinal && established[rollout.order.service] == setOf<String?>(rollout.order.version)

    private fun isEstablished(replica: Replica): Boolean {
        val known = established[replica.entry.service]
        return known.isNullOrEmpty() || replica.entry.version in known
    }

    private companion object {
        /** With the canary share of 0.1 and the margin, a tenth to a sixth of the requests. */
        const val CANARY_REPLICA_SHARE = 0.15

        /** A single replica may be on a slow machine. */
        const val MINIMUM_CANARIES = 2
    }
}
