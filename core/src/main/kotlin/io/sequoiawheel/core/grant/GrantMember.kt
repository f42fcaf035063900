package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/** What a ledger knows of one entry instance. */
internal class GrantMember(
    val instance: InstanceId,
) {
    val held = LinkedHashMap<RequestId, Held>()
    var lastSequence = 0L
    var lastHeardMillis = Long.MIN_VALUE
    var leaseUntilMillis = Long.MIN_VALUE
    var creditStartId = ""
    var reportedCredit = Room.NONE
    var answeredCredit = Room.NONE
    private val issued = ArrayDeque<Issued>()

    /** The credit that the member may believe to have: the one it reported or the one it was answered. */
    val chargedCredit: Room get() = reportedCredit.orAtLeast(answeredCredit)

    fun isRegistered(nowMillis: Long): Boolean = nowMillis < leaseUntilMillis

    fun issue(
        nonce: Long,
        nowMillis: Long,
    ) {
        issued.addLast(Issued(nonce, nowMillis))
        if (issued.size > REMEMBERED_NONCES) issued.removeFirst()
    }

    fun extendLease(
        echo: Long,
        leaseMillis: Long,
    ) {
        val answer = issued.firstOrNull { it.nonce == echo } ?: return
        leaseUntilMillis = maxOf(leaseUntilMillis, answer.issuedMillis + leaseMillis)
    }

    fun endRegistration() {
        leaseUntilMillis = Long.MIN_VALUE
        issued.clear()
    }

    /** A reservation with the time since which the replica works on it. */
    class Held(
        var reservation: Reservation,
        val sinceMillis: Long,
    )

    private class Issued(
        val nonce: Long,
        val issuedMillis: Long,
    )

    private companion object {
        /** More than the heartbeats that fit into one lease. */
        const val REMEMBERED_NONCES = 8
    }
}
