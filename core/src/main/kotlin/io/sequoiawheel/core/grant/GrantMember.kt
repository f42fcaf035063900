package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/** The state that a ledger keeps for one entry instance. */
internal class GrantMember(
    val instance: InstanceId,
) {
    val held = LinkedHashMap<RequestId, HeldReservation>()
    var lastSequence = 0L
    var lastHeardMillis = Long.MIN_VALUE
    var leaseUntilMillis = Long.MIN_VALUE
    var creditStartId = ""
    var reportedCredit = Capacity.NONE
    var answeredCredit = Capacity.NONE
    private val issuedNonces = ArrayDeque<IssuedNonce>()

    /** The largest credit that the member may assume: the reported one or the one in the last answer. */
    val chargedCredit: Capacity get() = reportedCredit.componentwiseMax(answeredCredit)

    fun isRegistered(nowMillis: Long): Boolean = nowMillis < leaseUntilMillis

    fun recordNonce(
        nonce: Long,
        nowMillis: Long,
    ) {
        issuedNonces.addLast(IssuedNonce(nonce, nowMillis))
        if (issuedNonces.size > MAXIMUM_ISSUED_NONCES) issuedNonces.removeFirst()
    }

    fun extendLease(
        echo: Long,
        leaseMillis: Long,
    ) {
        val answer = issuedNonces.firstOrNull { it.nonce == echo } ?: return
        leaseUntilMillis = maxOf(leaseUntilMillis, answer.issuedMillis + leaseMillis)
    }

    fun endRegistration() {
        leaseUntilMillis = Long.MIN_VALUE
        issuedNonces.clear()
    }

    /** A reservation and the time at which the replica started on it. */
    class HeldReservation(
        var reservation: Reservation,
        val sinceMillis: Long,
    )

    private class IssuedNonce(
        val nonce: Long,
        val issuedMillis: Long,
    )

    private companion object {
        /** More than the number of heartbeats in one lease. */
        const val MAXIMUM_ISSUED_NONCES = 8
    }
}
