/*
 * The granting side of the grant protocol for one replica. It records the reservations and credits of all entry
 * instances and admits requests against the replica's predicted memory and concurrency. A request is granted only if
 * reservations, credits and unexplained load together stay within the capacity that this ledger may grant.
 * docs/decisions/grants.md explains why dividing the capacity among live instances does not bound the total.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument.ColdStartPolicy
import io.sequoiawheel.core.routing.ReplicaState

/**
 * The ledger of [replica] at the entry instance [host]. Thread-safe; every operation takes the current time.
 *
 * @param capacity returns the usable tokens of the replica's memory, after a safety margin
 */
class GrantLedger(
    private val replica: InstanceId,
    private val host: InstanceId,
    policy: ColdStartPolicy = ColdStartPolicy(),
    estimator: PeakEstimator = PeakEstimator.SUM,
    correction: LengthCorrection = LengthCorrection.HALF_AGAIN,
    private val settings: GrantSettings = GrantSettings(),
    private val capacity: (LoadReport, Long) -> Long = { report, _ -> report.memoryCapacityTokens },
) {
    private val usage = CapacityUsage(estimator, correction, settings)
    private val authority = GrantAuthority(settings)
    private val unexplained = UnexplainedLoad()
    private val ramp = ColdStartRamp(policy)
    private var view = GrantView(isResponsible = false, members = emptySet(), isFresh = false)
    private var report: LoadReport? = null
    private var reportMillis = 0L
    private var isReachable = false
    private var isLeaving = false
    private var lastAuthorityMillis = CapacityUsage.NEVER_MILLIS
    private var inheritedMillis = CapacityUsage.NEVER_MILLIS
    private var lastNonce = 0L
    private var lastRefusalMillis = CapacityUsage.NEVER_MILLIS

    /** Updates the membership. Must be called at least once a second. */
    @Synchronized
    fun update(
        view: GrantView,
        isReplicaLeaving: Boolean,
        nowMillis: Long,
    ) {
        this.view = view
        isLeaving = isReplicaLeaving
        advance(nowMillis)
    }

    /** Applies a load report that has just arrived. */
    @Synchronized
    fun report(
        report: LoadReport,
        nowMillis: Long,
    ) {
        val old = this.report?.startId
        if (old != null && old != report.startId) {
            usage.onReplicaRestart(old, nowMillis)
            unexplained.clear()
        }
        this.report = report
        reportMillis = nowMillis - report.ageMillis
        isReachable = true
        ramp.report(report, nowMillis)
        advance(nowMillis)
        unexplained.report(report, usage.heldSinceMillis, nowMillis)
    }

    /**
     * Records that the replica did not answer or that its streams broke. Nothing is granted until the next load report.
     */
    @Synchronized
    fun markUnreachable() {
        isReachable = false
    }

    /** Records the time to first token of a request as input to the cold-start ramp. */
    @Synchronized
    fun recordFirstToken(
        millis: Long,
        nowMillis: Long,
    ) = ramp.recordFirstToken(millis, nowMillis)

    /** Processes a heartbeat and returns its answer. */
    @Synchronized
    fun heartbeat(
        heartbeat: GrantHeartbeat,
        nowMillis: Long,
    ): GrantAnswer {
        val member = usage.member(heartbeat.instance)
        if (heartbeat.sequence <= member.lastSequence) return answer(heartbeat, member, 0)
        usage.applyHeartbeat(heartbeat, member, nowMillis)
        if (heartbeat.inherited != null) inheritedMillis = nowMillis
        ramp.adopt(heartbeat.startId, heartbeat.knownLimit)
        if (!view.isResponsible || heartbeat.isLeaving) {
            member.endRegistration()
            advance(nowMillis)
            return answer(heartbeat, member, 0)
        }
        member.extendLease(heartbeat.echo, settings.leaseMillis)
        advance(nowMillis)
        member.answeredCredit = creditFor(member, nowMillis)
        member.recordNonce(++lastNonce, nowMillis)
        return answer(heartbeat, member, lastNonce)
    }

    /** Reserves capacity for one request of [instance]. Idempotent per request. */
    @Synchronized
    fun reserve(
        instance: InstanceId,
        reservation: Reservation,
        nowMillis: Long,
    ): ReserveResult {
        advance(nowMillis)
        val member = usage.members[instance]?.takeIf { it.isRegistered(nowMillis) }
        if (member == null || !view.isResponsible) return ReserveResult.NOT_RESPONSIBLE
        if (reservation.request in member.held) return ReserveResult.GRANTED
        if (!canGrant() || !hasCapacity(reservation, nowMillis)) {
            lastRefusalMillis = nowMillis
            return ReserveResult.NO_CAPACITY
        }
        usage.addReservation(member, reservation, nowMillis)
        return ReserveResult.GRANTED
    }

    /** Releases the reservation of a finished or abandoned request; unknown requests are ignored. */
    @Synchronized
    fun release(
        instance: InstanceId,
        request: RequestId,
    ) {
        usage.members[instance]?.held?.remove(request)
    }

    /**
     * Returns the reservations that the host hands over when another instance becomes the granting one: those of
     * instances that do not report to it themselves. Null if this ledger had no authority within the last lease.
     */
    @Synchronized
    fun inheritance(nowMillis: Long): List<Reservation>? {
        val hasGranted = nowMillis - lastAuthorityMillis < settings.leaseMillis
        return if (hasGranted) usage.reservationsNotReportedBy(registered(nowMillis).toSet()) else null
    }

    /** Returns the state of the replica for requesting instances. */
    @Synchronized
    fun state(nowMillis: Long): ReplicaState {
        advance(nowMillis)
        return stateOf(nowMillis)
    }

    /** Returns the capacity that is reserved, granted as credit, or used by unexplained load. */
    @Synchronized
    fun charged(nowMillis: Long): Capacity = chargedIncluding(null, nowMillis)

    /** Returns the capacity that this ledger may grant now; zero without authority. */
    @Synchronized
    fun grantableCapacity(nowMillis: Long): Capacity {
        advance(nowMillis)
        return currentlyGrantable()
    }

    private fun advance(nowMillis: Long) {
        val orphans = usage.removeLostMembers(view.members, nowMillis)
        unexplained.add(orphans, nowMillis)
        val registered = registered(nowMillis)
        val previousSince = authority.sinceMillis
        authority.update(view, registered.size, host in registered, nowMillis)
        val hasGainedAuthority = previousSince == null && authority.sinceMillis != null
        val isTakeover = hasGainedAuthority && nowMillis - inheritedMillis > RECENT_INHERITANCE_MILLIS
        if (authority.sinceMillis != null) lastAuthorityMillis = nowMillis
        if (orphans > 0 || isTakeover || authority.fraction < 1) unexplained.watch(nowMillis + settings.takeoverMillis)
        ramp.advance(nowMillis)
        report?.let { usage.updatePredictions(it.stepMillis, nowMillis) }
    }

    private fun registered(nowMillis: Long): List<InstanceId> =
        view.members.filter { usage.members[it]?.isRegistered(nowMillis) == true }

    private fun canGrant(): Boolean {
        val authoritySince = authority.sinceMillis ?: return false
        return isReachable && !isLeaving && reportMillis >= authoritySince + settings.grantUseMillis
    }

    private fun hasCapacity(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean = currentlyGrantable().covers(chargedIncluding(reservation, nowMillis))

    private fun chargedIncluding(
        added: Reservation?,
        nowMillis: Long,
    ): Capacity = usage.charged(added, unexplained.requests, nowMillis)

    private fun creditFor(
        member: GrantMember,
        nowMillis: Long,
    ): Capacity {
        val isOutsideView = member.instance !in view.members
        if (isOutsideView) return Capacity.NONE
        if (authority.sinceMillis == null) return member.reportedCredit
        val isContended = nowMillis - lastRefusalMillis < CONTENTION_MILLIS
        if (isContended || !canGrant() || authority.fraction < 1) return Capacity.NONE
        val free = currentlyGrantable() - (chargedIncluding(null, nowMillis) - usage.creditOf(member, nowMillis))
        val share = settings.creditShare / view.members.size
        val credit = Capacity((free.tokens * share).toLong(), (free.requests * share).toInt())
        return if (credit.tokens > 0 && credit.requests > 0) credit else Capacity.NONE
    }

    private fun currentlyGrantable(): Capacity {
        val report = this.report ?: return Capacity.NONE
        val tokens = if (report.memoryCapacityTokens == 0L) UNLIMITED_TOKENS else capacity(report, reportMillis)
        return Capacity((tokens * authority.fraction).toLong(), (ramp.limit * authority.fraction).toInt())
    }

    private fun stateOf(nowMillis: Long): ReplicaState {
        val free = currentlyGrantable() - chargedIncluding(null, nowMillis)
        val latest = report ?: LoadReport(startId = "")
        return ReplicaState(
            replica = replica,
            startId = latest.startId,
            cold = latest.cold,
            leaving = isLeaving,
            reachable = isReachable,
            freeTokens = if (latest.memoryCapacityTokens == 0L) 0 else free.tokens,
            freeRequests = if (canGrant()) free.requests else 0,
            stepMillis = latest.stepMillis,
            ageMillis = if (report == null) 0 else nowMillis - reportMillis,
            models = latest.models,
            preemptions = latest.preemptions,
            capacityTokens = latest.memoryCapacityTokens,
        )
    }

    private fun answer(
        heartbeat: GrantHeartbeat,
        member: GrantMember,
        nonce: Long,
    ): GrantAnswer {
        val credit = if (nonce == 0L) heartbeat.credit else member.answeredCredit
        return GrantAnswer(nonce, heartbeat.sequence, report?.startId ?: "", credit, ramp.limit, stateOf(reportMillis))
    }

    private companion object {
        /** No credit is granted while the last refusal is more recent than this. */
        const val CONTENTION_MILLIS = 2_000L

        /** An inheritance received this recently makes the check for unexplained load unnecessary. */
        const val RECENT_INHERITANCE_MILLIS = 10_000L

        /** Token capacity of plain services, which report no memory; small enough that sums do not overflow. */
        const val UNLIMITED_TOKENS = Long.MAX_VALUE / 1_024
    }
}
