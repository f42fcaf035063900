/*
 * The requesting side for one replica: with which granting instance this entry instance is registered, what it has
 * reserved, and what it may send without asking. It is registered with at most one granting instance at a time, and it
 * moves to another only when the previous ledger has certainly ended the registration.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.routing.ReplicaState

/** The client of one replica's ledgers at entry instance [self]. Thread-safe. */
class GrantClient(
    private val self: InstanceId,
    private val settings: GrantSettings = GrantSettings(),
) {
    private val outstanding = LinkedHashMap<RequestId, Reservation>()
    private val unreported = LinkedHashMap<RequestId, Reservation>()
    private val ended = LinkedHashSet<RequestId>()
    private val asked = HashMap<RequestId, Long>()
    private var granter: InstanceId? = null
    private var echo = 0L
    private var lastAnswerMillis: Long? = null
    private var registration = 0L
    private var startId = ""
    private var limit = 0
    private var credit = Room.NONE
    private var creditUntilMillis = Long.MIN_VALUE
    private var sequence = 0L
    private var inFlight: InFlight? = null
    private var lastState: ReplicaState? = null

    /** The last state heard of the replica, or null. */
    val state: ReplicaState?
        @Synchronized get() = lastState

    /** Returns the instance to ask for room, or null while there is none. */
    @Synchronized
    fun granter(nowMillis: Long): InstanceId? = granter?.takeIf { isRegistered(nowMillis) }

    /** Returns the ticket for asking for room for [request] now, or null while not registered. */
    @Synchronized
    fun ask(
        request: RequestId,
        nowMillis: Long,
    ): GrantTicket? {
        if (!isRegistered(nowMillis)) return null
        asked[request] = nowMillis
        return GrantTicket(registration, nowMillis)
    }

    /** Records that room for [request] was refused. */
    @Synchronized
    fun refused(request: RequestId) {
        asked.remove(request)
    }

    /**
     * Returns the next heartbeat and its receiver. [desired] is the granting instance in this instance's view. While an
     * earlier registration may be in force elsewhere, the heartbeat goes there: to leave it, or to wait for its end.
     *
     * @param inheritance what this instance's own ledger passes on, see [GrantLedger.inheritance]
     */
    @Synchronized
    fun nextHeartbeat(
        desired: InstanceId,
        nowMillis: Long,
        inheritance: List<Reservation>? = null,
    ): Pair<InstanceId, GrantHeartbeat> {
        val current = granter
        if (current != null && current != desired && hasEnded(nowMillis)) forget()
        if (granter == null) granter = desired
        val receiver = granter ?: desired
        val isLeaving = receiver != desired
        abandonLate(nowMillis)
        val isComplete = echo == 0L || sequence % COMPLETE_EVERY == 0L
        val reservations = (if (isComplete) outstanding else unreported).values.toList()
        sequence++
        inFlight = InFlight(sequence, nowMillis, unreported.keys.toSet(), ended.toSet(), spent = Room.NONE)
        val heartbeat =
            GrantHeartbeat(
                self,
                sequence,
                echo,
                startId,
                usableCredit(nowMillis),
                reservations,
                isComplete,
                ended.toSet(),
                inheritance.takeIf { receiver != self },
                limit,
                isLeaving,
            )
        return receiver to heartbeat
    }

    /** Takes the answer of [sender]. Answers to any but the latest heartbeat are ignored. */
    @Synchronized
    fun answered(
        sender: InstanceId,
        answer: GrantAnswer,
        nowMillis: Long,
    ) {
        val sent = inFlight
        if (sent == null || sender != granter || answer.sequence != sent.sequence) return
        inFlight = null
        if (!answer.isResponsible) return forget()
        if (lastAnswerMillis == null) registration++
        lastAnswerMillis = nowMillis
        echo = answer.nonce
        limit = answer.limit
        lastState = answer.state
        unreported.keys.removeAll(sent.reported)
        ended.removeAll(sent.ended)
        adopt(answer, sent)
    }

    /**
     * Records a grant and returns whether it may be used. It may not if the registration of its [ticket] has ended or
     * the ticket is too old; the next heartbeat then returns the room.
     */
    @Synchronized
    fun granted(
        reservation: Reservation,
        ticket: GrantTicket,
        nowMillis: Long,
    ): Boolean {
        if (asked.remove(reservation.request) == null) return false
        val isLate = nowMillis - ticket.askedMillis >= settings.grantUseMillis
        if (isLate || ticket.registration != registration || !isRegistered(nowMillis)) {
            ended += reservation.request
            return false
        }
        outstanding[reservation.request] = reservation
        return true
    }

    /**
     * Takes room from the instance's credit, for a request that cannot reach the granting instance. Returns false if
     * the credit is too small, has expired, or belongs to another process of the replica than [seenStartId].
     */
    @Synchronized
    fun admitFromCredit(
        reservation: Reservation,
        seenStartId: String,
        nowMillis: Long,
    ): Boolean {
        if (seenStartId != startId || !usableCredit(nowMillis).covers(reservation.room)) return false
        credit -= reservation.room
        inFlight = inFlight?.let { it.copy(spent = it.spent + reservation.room) }
        outstanding[reservation.request] = reservation
        unreported[reservation.request] = reservation
        return true
    }

    /** Records the end of a request. Returns the instance to which the release is sent, or null if there is none. */
    @Synchronized
    fun finished(request: RequestId): InstanceId? {
        unreported.remove(request)
        outstanding.remove(request) ?: return null
        ended += request
        return granter
    }

    /** Returns how many requests of this instance hold room. */
    @Synchronized
    fun outstandingCount(): Int = outstanding.size

    /** Returns the room that may be used without asking. */
    @Synchronized
    fun usableCredit(nowMillis: Long): Room = if (nowMillis < creditUntilMillis) credit else Room.NONE

    // The answer was lost or comes too late to be used; the ledger may have reserved the room.
    private fun abandonLate(nowMillis: Long) {
        val late = asked.filterValues { nowMillis - it >= settings.grantUseMillis }.keys
        ended += late
        asked.keys.removeAll(late)
    }

    private fun adopt(
        answer: GrantAnswer,
        sent: InFlight,
    ) {
        startId = answer.startId
        val rest = answer.credit - sent.spent
        credit = if (rest.tokens > 0 && rest.requests > 0) rest else Room.NONE
        creditUntilMillis = sent.sentMillis + settings.creditMillis
    }

    private fun isRegistered(nowMillis: Long): Boolean {
        val last = lastAnswerMillis ?: return false
        return nowMillis - last < settings.leaseMillis
    }

    // The ledger counts its lease from the time it issued the nonce, which is before the answer arrived here.
    private fun hasEnded(nowMillis: Long): Boolean {
        val last = lastAnswerMillis ?: return true
        return nowMillis - last >= settings.leaseMillis + settings.leaseMarginMillis
    }

    private fun forget() {
        granter = null
        echo = 0
        lastAnswerMillis = null
        inFlight = null
    }

    private data class InFlight(
        val sequence: Long,
        val sentMillis: Long,
        val reported: Set<RequestId>,
        val ended: Set<RequestId>,
        val spent: Room,
    )

    private companion object {
        /** Every so many heartbeats the full list of reservations repairs lost releases and grants. */
        const val COMPLETE_EVERY = 10L
    }
}
