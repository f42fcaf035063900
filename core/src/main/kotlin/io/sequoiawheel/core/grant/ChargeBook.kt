package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/** Everything that counts against a replica's capacity in one ledger. Not thread-safe; the ledger guards it. */
internal class ChargeBook(
    private val estimator: PeakEstimator,
    private val correction: LengthCorrection,
    private val settings: GrantSettings,
) {
    val members = HashMap<InstanceId, GrantMember>()
    private val inherited = HashMap<RequestId, Inherited>()
    private val retiredStartIds = ArrayDeque<String>()
    private var startedMillis = NEVER_MILLIS
    private var lastPredictionMillis = NEVER_MILLIS
    private var largestTokens = 0L

    /** The times since which the reserved requests are at the replica. */
    val heldSince: List<Long> get() = members.values.flatMap { member -> member.held.values.map { it.sinceMillis } }

    fun member(instance: InstanceId): GrantMember = members.getOrPut(instance) { GrantMember(instance) }

    fun hold(
        member: GrantMember,
        reservation: Reservation,
        sinceMillis: Long,
    ) {
        member.held.getOrPut(reservation.request) { GrantMember.Held(reservation, sinceMillis) }
        largestTokens = maxOf(largestTokens, reservation.room.tokens)
    }

    /** Takes the credit and the reservations of a heartbeat. */
    fun record(
        heartbeat: GrantHeartbeat,
        member: GrantMember,
        nowMillis: Long,
    ) {
        member.lastSequence = heartbeat.sequence
        member.lastHeardMillis = nowMillis
        // Answers to earlier heartbeats have no effect any more, because the sender ignores them.
        member.answeredCredit = Room.NONE
        member.reportedCredit = Room.NONE
        if (heartbeat.startId in retiredStartIds) return
        member.creditStartId = heartbeat.startId
        member.reportedCredit = heartbeat.credit
        heartbeat.finished.forEach { member.held.remove(it) }
        heartbeat.inherited?.forEach { inherited[it.request] = Inherited(it, nowMillis + settings.orphanMillis) }
        if (heartbeat.isComplete) dropUnlisted(heartbeat, member, nowMillis)
        heartbeat.reservations.forEach { hold(member, it, nowMillis - SETTLED_MILLIS) }
    }

    /** Removes members that are gone for good and returns how many reservations they still had. */
    fun dropLost(
        present: Set<InstanceId>,
        nowMillis: Long,
    ): Int {
        val lost =
            members.values.filter {
                val isSilent = nowMillis - it.lastHeardMillis > settings.orphanMillis
                it.instance !in present && !it.isRegistered(nowMillis) && isSilent
            }
        lost.forEach { members.remove(it.instance) }
        inherited.values.removeIf { it.untilMillis <= nowMillis }
        return lost.sumOf { it.held.size }
    }

    /** Forgets the reservations at a process of the replica that has ended. */
    fun restart(
        oldStartId: String,
        nowMillis: Long,
    ) {
        retiredStartIds.addLast(oldStartId)
        if (retiredStartIds.size > REMEMBERED_STARTS) retiredStartIds.removeFirst()
        members.values.forEach { it.held.clear() }
        inherited.clear()
        startedMillis = nowMillis
    }

    /** Estimates the progress of every generation and predicts again for those that outlived their prediction. */
    fun predictAgain(
        stepMillis: Double,
        nowMillis: Long,
    ) {
        if (stepMillis <= 0 || nowMillis - lastPredictionMillis < PREDICTION_INTERVAL_MILLIS) return
        lastPredictionMillis = nowMillis
        members.values.forEach { member -> member.held.values.forEach { progress(it, stepMillis, nowMillis) } }
    }

    /** Returns all charges, with [added] and with [unexplained] requests of unknown size. */
    fun charged(
        added: Reservation?,
        unexplained: Int,
        nowMillis: Long,
    ): Room {
        val reservations = reserved() + listOfNotNull(added)
        val credits = members.values.fold(Room.NONE) { sum, member -> sum + creditOf(member, nowMillis) }
        val foreign = Room(unexplained * largestTokens, unexplained)
        return Room(estimator.peakTokens(reservations), reservations.size) + credits + foreign
    }

    /** Returns the credit that [member] may still use. That of an ended process is void once it must have expired. */
    fun creditOf(
        member: GrantMember,
        nowMillis: Long,
    ): Room {
        val isVoid = member.creditStartId in retiredStartIds && nowMillis - startedMillis >= settings.creditMillis
        return if (isVoid) Room.NONE else member.chargedCredit
    }

    /** Returns the reservations that no member of [reporting] will report by itself. */
    fun silent(reporting: Set<InstanceId>): List<Reservation> {
        val held = members.values.filter { it.instance !in reporting }.flatMap { it.held.values }
        return held.map { it.reservation } + inherited.values.map { it.reservation }
    }

    private fun reserved(): List<Reservation> {
        val held = members.values.flatMap { member -> member.held.values.map { it.reservation } }
        return held + inherited.values.map { it.reservation }
    }

    // A grant whose answer is still on its way is not in the sender's list yet.
    private fun dropUnlisted(
        heartbeat: GrantHeartbeat,
        member: GrantMember,
        nowMillis: Long,
    ) {
        val listed = heartbeat.reservations.map { it.request }.toSet()
        val graceMillis = if (heartbeat.echo == 0L) 0 else GRANT_LOST_MILLIS
        member.held.values.removeIf { it.reservation.request !in listed && nowMillis - it.sinceMillis >= graceMillis }
    }

    private fun progress(
        held: GrantMember.Held,
        stepMillis: Double,
        nowMillis: Long,
    ) {
        if (held.reservation.predictedTokens == 0L) return
        val produced = ((nowMillis - held.sinceMillis) / stepMillis).toLong()
        val current = held.reservation.copy(producedTokens = maxOf(produced, held.reservation.producedTokens))
        val isOutlived = current.producedTokens >= current.predictedTokens
        held.reservation = if (isOutlived) current.copy(predictedTokens = correction.predict(current)) else current
    }

    private class Inherited(
        val reservation: Reservation,
        val untilMillis: Long,
    )

    companion object {
        /** Long ago, but far enough from the smallest value that differences do not overflow. */
        const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** A reservation older than this which its owner does not list was granted without the owner knowing. */
        private const val GRANT_LOST_MILLIS = 10_000L

        /** Reservations that are reported, not granted here, are at the replica already. */
        private const val SETTLED_MILLIS = 1_000L
        private const val PREDICTION_INTERVAL_MILLIS = 200L
        private const val REMEMBERED_STARTS = 4
    }
}
