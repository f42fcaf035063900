package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.CompletableDeferred

/**
 * Why a replica receives no new work.
 *
 * @property isFinal whether the replica's process is ending for certain, so that only its next start brings it back
 */
enum class LeaveReason(
    val isFinal: Boolean,
) {
    /** Its entry in the platform's list says so. */
    DRAINING(isFinal = true),

    /** Its entry is gone; the list also drops live replicas that it has not heard of for a while. */
    REMOVED(isFinal = false),

    /** Another start, or another replica, answers in its place. */
    REPLACED(isFinal = false),

    /** An answer that it gave to this instance says so. */
    ANNOUNCED(isFinal = true),

    /** An answer that it gave to another instance says so. */
    TOLD_BY_PEER(isFinal = true),
}

/**
 * One incarnation of a replica as this instance sees it, with the work that this instance has at it. It is confined to
 * one thread. Requests in progress keep their reference after the replica has left the directory.
 *
 * @param coldPhase this instance's phase in the sum of all instances' requests to the replica while it is cold
 */
class Replica(
    entry: ReplicaEntry,
    coldPhase: Double = 0.0,
    private val clock: Clock,
) {
    private val departure = CompletableDeferred<LeaveReason>()
    private val seenAtMillis = clock.nowMillis()

    /** The newest entry. */
    var entry: ReplicaEntry = entry
        private set

    /** What this instance has running here, and how the replica has answered. */
    val load = ReplicaLoad()

    /** Limits the rate at which this instance sends while the replica is cold. */
    val coldRate = TokenBucket(clock, coldPhase)

    /** When the replica was told or seen to leave, or null. */
    var leavingSinceMillis: Long? = null
        private set

    val isLeaving: Boolean get() = departure.isCompleted

    /** Why the replica leaves, or null if it does not. */
    var leaveReason: LeaveReason? = null
        private set

    private var quietUntilMillis = Long.MIN_VALUE

    /** How much longer the replica wants no requests from this instance; not positive if it takes them. */
    val quietMillis: Long get() = if (isQuiet) quietUntilMillis - clock.nowMillis() else 0

    val isQuiet: Boolean get() = clock.nowMillis() < quietUntilMillis

    /** Sends nothing for [millis] from now, as the replica asked; an earlier request for longer still holds. */
    fun quietFor(millis: Long) {
        quietUntilMillis = maxOf(quietUntilMillis, clock.nowMillis() + millis)
    }

    private var unreachableUntilMillis = Long.MIN_VALUE
    private var failedConnects = 0

    /** Whether the last attempt to connect did not fail just now. */
    val isReachable: Boolean get() = clock.nowMillis() >= unreachableUntilMillis

    /** Avoids the replica after a failed attempt to connect, for longer with each failure in a row. */
    fun unreachable() {
        val factor = 1L shl failedConnects.coerceAtMost(MAXIMUM_DOUBLINGS)
        unreachableUntilMillis = clock.nowMillis() + UNREACHABLE_MILLIS * factor
        failedConnects++
    }

    /** Notes that the replica answered. */
    fun reached() {
        failedConnects = 0
    }

    private var coldUntilMillis = seenAtMillis + entry.coldForMillis

    val isCold: Boolean get() = clock.nowMillis() < coldUntilMillis

    /** Takes a newer entry of the same incarnation. */
    fun update(newer: ReplicaEntry) {
        entry = newer
        if (newer.coldForMillis > 0) coldFor(newer.coldForMillis)
    }

    /** Treats the replica as cold for [millis] from now. */
    fun coldFor(millis: Long) {
        coldUntilMillis = maxOf(coldUntilMillis, clock.nowMillis() + millis)
    }

    /** Marks the replica as leaving; runs that wait in [awaitLeaving] are told. Only the first reason is kept. */
    fun leave(reason: LeaveReason) {
        if (departure.complete(reason)) {
            leaveReason = reason
            leavingSinceMillis = clock.nowMillis()
        }
    }

    /** Returns when the replica leaves. */
    suspend fun awaitLeaving(): LeaveReason = departure.await()

    override fun toString(): String = entry.id.value

    private companion object {
        /** About the time in which a crashed replica's entry lapses or its process starts again, in steps. */
        const val UNREACHABLE_MILLIS = 800L

        /** After four failures a replica is tried about every six seconds, about as long as cuts last. */
        const val MAXIMUM_DOUBLINGS = 3
    }
}
