/*
 * The granting side of one replica: it knows who may send how much, and admits against the replica's predicted memory
 * and concurrency. A request is granted only if reserved work, credits and load of unknown origin together stay within
 * the capacity that this ledger may grant. docs/decisions/grants.md explains why shares of live instances alone do not
 * bound the sum.
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
 * @param capacity returns the tokens of the replica's memory that may be planned with, after a safety margin
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
    private val book = ChargeBook(estimator, correction, settings)
    private val authority = GrantAuthority(settings)
    private val unexplained = UnexplainedLoad()
    private val ramp = ColdStartRamp(policy)
    private var view = GrantView(isResponsible = false, members = emptySet(), isFresh = false)
    private var report: LoadReport? = null
    private var reportMillis = 0L
    private var isReachable = false
    private var isLeaving = false
    private var lastAuthorityMillis = ChargeBook.NEVER_MILLIS
    private var inheritedMillis = ChargeBook.NEVER_MILLIS
    private var lastNonce = 0L
    private var lastRefusalMillis = ChargeBook.NEVER_MILLIS

    /** Takes the membership; call it at least once a second. */
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

    /** Takes a load report that arrived now. */
    @Synchronized
    fun report(
        report: LoadReport,
        nowMillis: Long,
    ) {
        val old = this.report?.startId
        if (old != null && old != report.startId) {
            book.restart(old, nowMillis)
            unexplained.clear()
        }
        this.report = report
        reportMillis = nowMillis - report.ageMillis
        isReachable = true
        ramp.report(report, nowMillis)
        advance(nowMillis)
        unexplained.report(report, book.heldSince, nowMillis)
    }

    /** Records that the replica did not answer or lost its streams. Nothing is granted until the next report. */
    @Synchronized
    fun unreachable() {
        isReachable = false
    }

    /** Records the first-token time of a request, which drives the cold-start ramp. */
    @Synchronized
    fun firstToken(
        millis: Long,
        nowMillis: Long,
    ) = ramp.firstToken(millis, nowMillis)

    /** Handles a heartbeat. */
    @Synchronized
    fun heartbeat(
        heartbeat: GrantHeartbeat,
        nowMillis: Long,
    ): GrantAnswer {
        val member = book.member(heartbeat.instance)
        if (heartbeat.sequence <= member.lastSequence) return answer(heartbeat, member, 0)
        book.record(heartbeat, member, nowMillis)
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
        member.issue(++lastNonce, nowMillis)
        return answer(heartbeat, member, lastNonce)
    }

    /** Reserves room for one request of [instance]. Asking again for the same request has no further effect. */
    @Synchronized
    fun reserve(
        instance: InstanceId,
        reservation: Reservation,
        nowMillis: Long,
    ): ReserveResult {
        advance(nowMillis)
        val member = book.members[instance]?.takeIf { it.isRegistered(nowMillis) }
        if (member == null || !view.isResponsible) return ReserveResult.NOT_RESPONSIBLE
        if (reservation.request in member.held) return ReserveResult.GRANTED
        if (!canGrant() || !hasRoom(reservation, nowMillis)) {
            lastRefusalMillis = nowMillis
            return ReserveResult.NO_ROOM
        }
        book.hold(member, reservation, nowMillis)
        return ReserveResult.GRANTED
    }

    /** Returns the room of a finished or abandoned request; an unknown one is ignored. */
    @Synchronized
    fun release(
        instance: InstanceId,
        request: RequestId,
    ) {
        book.members[instance]?.held?.remove(request)
    }

    /**
     * Returns what the host passes on when it gives up granting: the reservations of instances that do not report to
     * the next granting instance by themselves. Null if this ledger has not granted within the lease.
     */
    @Synchronized
    fun inheritance(nowMillis: Long): List<Reservation>? {
        val hasGranted = nowMillis - lastAuthorityMillis < settings.leaseMillis
        return if (hasGranted) book.silent(registered(nowMillis).toSet()) else null
    }

    /** Returns what requesters need to know of the replica. */
    @Synchronized
    fun state(nowMillis: Long): ReplicaState {
        advance(nowMillis)
        return stateOf(nowMillis)
    }

    /** Returns the room that is reserved, handed out as credit, or used by load of unknown origin. */
    @Synchronized
    fun charged(nowMillis: Long): Room = chargedWith(null, nowMillis)

    /** Returns the capacity that this ledger may grant now; nothing without authority. */
    @Synchronized
    fun bound(nowMillis: Long): Room {
        advance(nowMillis)
        return boundNow()
    }

    private fun advance(nowMillis: Long) {
        val orphans = book.dropLost(view.members, nowMillis)
        unexplained.add(orphans, nowMillis)
        val registered = registered(nowMillis)
        val before = authority.sinceMillis
        authority.update(view, registered.size, host in registered, nowMillis)
        val isNew = before == null && authority.sinceMillis != null
        val isTakeover = isNew && nowMillis - inheritedMillis > INHERITED_MILLIS
        if (authority.sinceMillis != null) lastAuthorityMillis = nowMillis
        if (orphans > 0 || isTakeover || authority.fraction < 1) unexplained.watch(nowMillis + settings.takeoverMillis)
        ramp.advance(nowMillis)
        report?.let { book.predictAgain(it.stepMillis, nowMillis) }
    }

    private fun registered(nowMillis: Long): List<InstanceId> =
        view.members.filter { book.members[it]?.isRegistered(nowMillis) == true }

    private fun canGrant(): Boolean {
        val since = authority.sinceMillis ?: return false
        return isReachable && !isLeaving && reportMillis >= since + settings.grantUseMillis
    }

    private fun hasRoom(
        reservation: Reservation,
        nowMillis: Long,
    ): Boolean = boundNow().covers(chargedWith(reservation, nowMillis))

    private fun chargedWith(
        added: Reservation?,
        nowMillis: Long,
    ): Room = book.charged(added, unexplained.requests, nowMillis)

    private fun creditFor(
        member: GrantMember,
        nowMillis: Long,
    ): Room {
        val isGuest = member.instance !in view.members
        if (isGuest) return Room.NONE
        if (authority.sinceMillis == null) return member.reportedCredit
        val isPressed = nowMillis - lastRefusalMillis < PRESSED_MILLIS
        if (isPressed || !canGrant() || authority.fraction < 1) return Room.NONE
        val free = boundNow() - (chargedWith(null, nowMillis) - book.creditOf(member, nowMillis))
        val share = settings.creditShare / view.members.size
        val credit = Room((free.tokens * share).toLong(), (free.requests * share).toInt())
        return if (credit.tokens > 0 && credit.requests > 0) credit else Room.NONE
    }

    private fun boundNow(): Room {
        val report = this.report ?: return Room.NONE
        val tokens = if (report.memoryCapacityTokens == 0L) UNLIMITED_TOKENS else capacity(report, reportMillis)
        return Room((tokens * authority.fraction).toLong(), (ramp.limit * authority.fraction).toInt())
    }

    private fun stateOf(nowMillis: Long): ReplicaState {
        val free = boundNow() - chargedWith(null, nowMillis)
        val last = report ?: LoadReport(startId = "")
        return ReplicaState(
            replica = replica,
            startId = last.startId,
            cold = last.cold,
            leaving = isLeaving,
            reachable = isReachable,
            freeTokens = if (last.memoryCapacityTokens == 0L) 0 else free.tokens,
            freeRequests = if (canGrant()) free.requests else 0,
            stepMillis = last.stepMillis,
            ageMillis = if (report == null) 0 else nowMillis - reportMillis,
            models = last.models,
            preemptions = last.preemptions,
            capacityTokens = last.memoryCapacityTokens,
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
        /** Credits are taken back while requests were refused this recently. */
        const val PRESSED_MILLIS = 2_000L

        /** An inheritance this recent makes a search for unknown load needless. */
        const val INHERITED_MILLIS = 10_000L

        /** Plain services have no memory to plan with; far from overflow in sums. */
        const val UNLIMITED_TOKENS = Long.MAX_VALUE / 1_024
    }
}
