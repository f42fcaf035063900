/*
 * The requesting side of the grant protocol for one replica. It tracks the granting instance with which this entry
 * instance is registered, the reservations, and the credit for requests sent without asking. An entry instance is
 * registered with at most one granting instance at a time, and moves to another only after the previous registration
 * has certainly ended at the ledger.
 */
package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.routing.ReplicaState

/** The client through which entry instance [self] uses the ledgers of one replica. Thread-safe. */
class GrantClient(
    private val self: InstanceId,
    private val settings: GrantSettings = GrantSettings(),
) {
    private val outstanding = LinkedHashMap<RequestId, Reservation>()
    private val unreported = LinkedHashMap<RequestId, Reservation>()
    private val ended = LinkedHashSet<RequestId>()
    private val pendingTickets = HashMap<RequestId, Long>()
    private var grantingInstance: InstanceId? = null
    private var echo = 0L
    private var lastAnswerMillis: Long? = null
    private var registration = 0L
    private var startId = ""
    private var limit = 0
    private var credit = Capacity.NONE
    private var creditUntilMillis = Long.MIN_VALUE
    private var sequence = 0L
    private var awaitedHeartbeat: SentHeartbeat? = null
    private var lastState: ReplicaState? = null

    /** The last state received for the replica, or null. */
    val state: ReplicaState?
        @Synchronized get() = lastState

    /** Returns the granting instance to ask for capacity, or null while not registered. */
    @Synchronized
    fun grantingInstance(nowMillis: Long): InstanceId? = grantingInstance?.takeIf { isRegistered(nowMillis) }

    /** Returns a ticket for asking for capacity for [request] now, or null while not registered. */
    @Synchronized
    fun issueTicket(
        request: RequestId,
        nowMillis: Long,
    ): GrantTicket? {
        if (!isRegistered(nowMillis)) return null
        pendingTickets[request] = nowMillis
        return GrantTicket(registration, nowMillis)
    }

    /** Records that capacity for [request] was refused. */
    @Synchronized
    fun onRefused(request: RequestId) {
        pendingTickets.remove(request)
    }

    /**
     * Returns the next heartbeat and its receiver. [desired] is the granting instance in this instance's view. While a
     * registration with another instance may still be in force, the heartbeat goes there, to end that registration
     * or to wait for its end.
     *
     * @param inheritance the reservations that this instance's own ledger hands over, see [GrantLedger.inheritance]
     */
    @Synchronized
    fun nextHeartbeat(
        desired: InstanceId,
        nowMillis: Long,
        inheritance: List<Reservation>? = null,
    ): Pair<InstanceId, GrantHeartbeat> {
        val current = grantingInstance
        if (current != null && current != desired && hasRegistrationEnded(nowMillis)) resetRegistration()
        if (grantingInstance == null) grantingInstance = desired
        val receiver = grantingInstance ?: desired
        val isLeaving = receiver != desired
        abandonExpiredTickets(nowMillis)
        val isComplete = echo == 0L || sequence % COMPLETE_HEARTBEAT_INTERVAL == 0L
        val reservations = (if (isComplete) outstanding else unreported).values.toList()
        sequence++
        awaitedHeartbeat =
            SentHeartbeat(sequence, nowMillis, unreported.keys.toSet(), ended.toSet(), spent = Capacity.NONE)
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

    /** Applies the answer of [sender]. Answers to any but the latest heartbeat are ignored. */
    @Synchronized
    fun onAnswer(
        sender: InstanceId,
        answer: GrantAnswer,
        nowMillis: Long,
    ) {
        val sent = awaitedHeartbeat
        if (sent == null || sender != grantingInstance || answer.sequence != sent.sequence) return
        awaitedHeartbeat = null
        if (!answer.isResponsible) return resetRegistration()
        if (lastAnswerMillis == null) registration++
        lastAnswerMillis = nowMillis
        echo = answer.nonce
        limit = answer.limit
        lastState = answer.state
        unreported.keys.removeAll(sent.reported)
        ended.removeAll(sent.ended)
        updateCredit(answer, sent)
    }

    /**
     * Records a grant and returns whether it may be used. It may not if the registration of its [ticket] has ended or
     * the ticket is too old; the next heartbeat then releases the capacity.
     */
    @Synchronized
    fun acceptGrant(
        reservation: Reservation,
        ticket: GrantTicket,
        nowMillis: Long,
    ): Boolean {
        if (pendingTickets.remove(reservation.request) == null) return false
        val isLate = nowMillis - ticket.requestedMillis >= settings.grantUseMillis
        if (isLate || ticket.registration != registration || !isRegistered(nowMillis)) {
            ended += reservation.request
            return false
        }
        outstanding[reservation.request] = reservation
        return true
    }

    /**
     * Reserves capacity from this instance's credit when the granting instance cannot be reached. Returns false if
     * the credit is too small, has expired, or belongs to another process of the replica than [seenStartId].
     */
    @Synchronized
    fun admitFromCredit(
        reservation: Reservation,
        seenStartId: String,
        nowMillis: Long,
    ): Boolean {
        if (seenStartId != startId || !usableCredit(nowMillis).covers(reservation.capacity)) return false
        credit -= reservation.capacity
        awaitedHeartbeat = awaitedHeartbeat?.let { it.copy(spent = it.spent + reservation.capacity) }
        outstanding[reservation.request] = reservation
        unreported[reservation.request] = reservation
        return true
    }

    /** Records the end of a request. Returns the instance to which the release is sent, or null if there is none. */
    @Synchronized
    fun onFinished(request: RequestId): InstanceId? {
        unreported.remove(request)
        outstanding.remove(request) ?: return null
        ended += request
        return grantingInstance
    }

    /** Returns how many requests of this instance hold a reservation. */
    @Synchronized
    fun outstandingCount(): Int = outstanding.size

    /** Returns the capacity that may be used without asking. */
    @Synchronized
    fun usableCredit(nowMillis: Long): Capacity = if (nowMillis < creditUntilMillis) credit else Capacity.NONE

    // The answer was lost or would arrive too late to be used; the ledger may have reserved the capacity.
    private fun abandonExpiredTickets(nowMillis: Long) {
        val expired = pendingTickets.filterValues { nowMillis - it >= settings.grantUseMillis }.keys
        ended += expired
        pendingTickets.keys.removeAll(expired)
    }

    private fun updateCredit(
        answer: GrantAnswer,
        sent: SentHeartbeat,
    ) {
        startId = answer.startId
        val remainingCredit = answer.credit - sent.spent
        credit = if (remainingCredit.tokens > 0 && remainingCredit.requests > 0) remainingCredit else Capacity.NONE
        creditUntilMillis = sent.sentMillis + settings.creditMillis
    }

    private fun isRegistered(nowMillis: Long): Boolean {
        val last = lastAnswerMillis ?: return false
        return nowMillis - last < settings.leaseMillis
    }

    // The ledger measures the lease from when it issued the nonce, which is before the answer arrived here.
    private fun hasRegistrationEnded(nowMillis: Long): Boolean {
        val last = lastAnswerMillis ?: return true
        return nowMillis - last >= settings.leaseMillis + settings.leaseMarginMillis
    }

    private fun resetRegistration() {
        grantingInstance = null
        echo = 0
        lastAnswerMillis = null
        awaitedHeartbeat = null
    }

    private data class SentHeartbeat(
        val sequence: Long,
        val sentMillis: Long,
        val reported: Set<RequestId>,
        val ended: Set<RequestId>,
        val spent: Capacity,
    )

    private companion object {
        /** Every such heartbeat lists all reservations, which repairs lost releases and grants. */
        const val COMPLETE_HEARTBEAT_INTERVAL = 10L
    }
}
