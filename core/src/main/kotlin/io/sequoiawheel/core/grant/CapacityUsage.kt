package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/**
 * The reservations and credits that one ledger counts against a replica's capacity. Not thread-safe; the ledger
 * synchronizes access.
 */
internal class CapacityUsage(
    private val peakEstimator: PeakEstimator,
    private val correction: LengthCorrection,
    private val settings: GrantSettings,
) {
    val members = HashMap<InstanceId, GrantMember>()
    private val inherited = HashMap<RequestId, InheritedReservation>()
    private val retiredStartIds = ArrayDeque<String>()
    private var restartedMillis = NEVER_MILLIS
    private var lastPredictionMillis = NEVER_MILLIS
    private var largestTokens = 0L

    /** The start time of each reserved request at the replica. */
    val heldSinceMillis: List<Long> get() =
        members.values.flatMap { member ->
            member.held.values.map { it.sinceMillis }
        }

    fun member(instance: InstanceId): GrantMember = members.getOrPut(instance) { GrantMember(instance) }

    fun addReservation(
        member: GrantMember,
        reservation: Reservation,
        sinceMillis: Long,
    ) {
        member.held.getOrPut(reservation.request) { GrantMember.HeldReservation(reservation, sinceMillis) }
        largestTokens = maxOf(largestTokens, reservation.capacity.tokens)
    }

    /** Applies the credit and the reservations that a heartbeat reports. */
    fun applyHeartbeat(
        heartbeat: GrantHeartbeat,
        member: GrantMember,
        nowMillis: Long,
    ) {
        member.lastSequence = heartbeat.sequence
        member.lastHeardMillis = nowMillis
        // The sender ignores answers to earlier heartbeats, so credit offered in them can no longer be used.
        member.answeredCredit = Capacity.NONE
        member.reportedCredit = Capacity.NONE
        if (heartbeat.startId in retiredStartIds) return
        member.creditStartId = heartbeat.startId
        member.reportedCredit = heartbeat.credit
        heartbeat.finished.forEach { member.held.remove(it) }
        heartbeat.inherited?.forEach {
            inherited[it.request] =
                InheritedReservation(it, nowMillis + settings.orphanMillis)
        }
        if (heartbeat.isComplete) removeUnlisted(heartbeat, member, nowMillis)
        heartbeat.reservations.forEach { addReservation(member, it, nowMillis - REPORTED_RESERVATION_AGE_MILLIS) }
    }

    /** Removes members that are unlisted, unregistered and timed out, and returns how many reservations they held. */
    fun removeLostMembers(
        present: Set<InstanceId>,
        nowMillis: Long,
    ): Int {
        val lost =
            members.values.filter {
                val hasTimedOut = nowMillis - it.lastHeardMillis > settings.orphanMillis
                it.instance !in present && !it.isRegistered(nowMillis) && hasTimedOut
            }
        lost.forEach { members.remove(it.instance) }
        inherited.values.removeIf { it.untilMillis <= nowMillis }
        return lost.sumOf { it.held.size }
    }

    /** Clears all reservations after the replica restarted; they belonged to the process [oldStartId]. */
    fun onReplicaRestart(
        oldStartId: String,
        nowMillis: Long,
    ) {
        retiredStartIds.addLast(oldStartId)
        if (retiredStartIds.size > MAXIMUM_RETIRED_START_IDS) retiredStartIds.removeFirst()
        members.values.forEach { it.held.clear() }
        inherited.clear()
        restartedMillis = nowMillis
    }

    /** Estimates the progress of every generation and extends the predictions of those that exceeded them. */
    fun updatePredictions(
        stepMillis: Double,
        nowMillis: Long,
    ) {
        if (stepMillis <= 0 || nowMillis - lastPredictionMillis < PREDICTION_INTERVAL_MILLIS) return
        lastPredictionMillis = nowMillis
        members.values.forEach { member -> member.held.values.forEach { updateProgress(it, stepMillis, nowMillis) } }
    }

    /** Returns the capacity in use, including [added] and [unexplainedRequests] requests of unknown size. */
    fun charged(
        added: Reservation?,
        unexplainedRequests: Int,
        nowMillis: Long,
    ): Capacity {
        val reservations = reserved() + listOfNotNull(added)
        val credits = members.values.fold(Capacity.NONE) { sum, member -> sum + creditOf(member, nowMillis) }
        val unexplainedCapacity = Capacity(unexplainedRequests * largestTokens, unexplainedRequests)
        return Capacity(peakEstimator.peakTokens(reservations), reservations.size) + credits + unexplainedCapacity
    }

    /**
     * Returns the credit that [member] may still use. Credit for an earlier replica process counts until it has
     * expired.
     */
    fun creditOf(
        member: GrantMember,
        nowMillis: Long,
    ): Capacity {
        val isVoid = member.creditStartId in retiredStartIds && nowMillis - restartedMillis >= settings.creditMillis
        return if (isVoid) Capacity.NONE else member.chargedCredit
    }

    /** Returns the inherited reservations and those of members that are not in [reporting]. */
    fun reservationsNotReportedBy(reporting: Set<InstanceId>): List<Reservation> {
        val held = members.values.filter { it.instance !in reporting }.flatMap { it.held.values }
        return held.map { it.reservation } + inherited.values.map { it.reservation }
    }

    private fun reserved(): List<Reservation> {
        val held = members.values.flatMap { member -> member.held.values.map { it.reservation } }
        return held + inherited.values.map { it.reservation }
    }

    // A recent grant may be missing from the sender's list because its answer is still in transit.
    private fun removeUnlisted(
        heartbeat: GrantHeartbeat,
        member: GrantMember,
        nowMillis: Long,
    ) {
        val listed = heartbeat.reservations.map { it.request }.toSet()
        val graceMillis = if (heartbeat.echo == 0L) 0 else GRANT_ANSWER_TIMEOUT_MILLIS
        member.held.values.removeIf { it.reservation.request !in listed && nowMillis - it.sinceMillis >= graceMillis }
    }

    private fun updateProgress(
        held: GrantMember.HeldReservation,
        stepMillis: Double,
        nowMillis: Long,
    ) {
        if (held.reservation.predictedTokens == 0L) return
        val produced = ((nowMillis - held.sinceMillis) / stepMillis).toLong()
        val current = held.reservation.copy(producedTokens = maxOf(produced, held.reservation.producedTokens))
        val exceedsPrediction = current.producedTokens >= current.predictedTokens
        held.reservation =
            if (exceedsPrediction) current.copy(predictedTokens = correction.predict(current)) else current
    }

    private class InheritedReservation(
        val reservation: Reservation,
        val untilMillis: Long,
    )

    companion object {
        /** A time in the distant past; not `Long.MIN_VALUE`, so that differences do not overflow. */
        const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** Age after which a reservation that its owner does not list is removed: the answer to the owner was lost. */
        private const val GRANT_ANSWER_TIMEOUT_MILLIS = 10_000L

        /** Assumed age of a reservation that a heartbeat reports; its request has already reached the replica. */
        private const val REPORTED_RESERVATION_AGE_MILLIS = 1_000L
        private const val PREDICTION_INTERVAL_MILLIS = 200L
        private const val MAXIMUM_RETIRED_START_IDS = 4
    }
}
