package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.pace.ReplicaPace
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * Why a replica receives no new work.
 *
 * @property isFinal whether the replica's process is certainly terminating, so that only a restart makes it usable
 *   again
 */
enum class LeaveReason(
    val isFinal: Boolean,
) {
    /** Its entry in the platform's list is marked as draining. */
    DRAINING(isFinal = true),

    /** Its entry was removed; entries of live replicas also expire if they are not renewed in time. */
    REMOVED(isFinal = false),

    /** Another incarnation, or another replica, responds at its address. */
    REPLACED(isFinal = false),

    /** It announced this in a response to this instance. */
    ANNOUNCED(isFinal = true),

    /** It announced this in a response to another instance. */
    TOLD_BY_PEER(isFinal = true),

    /** A new version of the service takes over its runs; the replica itself has not announced anything. */
    SUPERSEDED(isFinal = false),
}

/**
 * The local state of one incarnation of a replica, including the load of this instance on it. Confined to one thread.
 * Requests in progress keep their reference after the replica was removed from the directory.
 *
 * @param coldPhase this instance's token bucket phase while the replica is cold; see [TokenBucket]
 */
class Replica(
    entry: ReplicaEntry,
    coldPhase: Double = 0.0,
    private val clock: Clock,
) {
    private val departure = CompletableDeferred<LeaveReason>()
    private val seenAtMillis = clock.nowMillis()

    /** The latest entry of this incarnation. */
    var entry: ReplicaEntry = entry
        private set

    /** The load on the replica and the statistics of its responses. */
    val load = ReplicaLoad()

    /** How long work takes at the replica. */
    val pace = ReplicaPace(clock)

    /** The requests of this instance that the replica has not read yet. */
    val unreadRequests = UnreadRequests(clock)

    /** Limits the request rate of this instance while the replica is cold. */
    val coldRate = TokenBucket(clock, coldPhase)

    /** When the replica started to leave, or null. */
    var leavingSinceMillis: Long? = null
        private set

    val isLeaving: Boolean get() = departure.isCompleted

    /** Why the replica is leaving, or null if it is not. */
    var leaveReason: LeaveReason? = null
        private set

    /** Calls that the replica executes and queues while each still meets its objective. */
    val callCapacity: Int get() = entry.slots * CALLS_PER_SLOT

    /** Limits the calls of this instance while other replicas of the service are restricted. */
    val overflowRate = OverflowRate(clock)

    /** Limits the requests of this instance while the replica names a request limit. */
    val limitedRate = TokenBucket(clock, startsEmpty = true)

    /** The limit on the requests of all instances together that the replica names in its responses. */
    val requestLimit = NamedRequestLimit(clock, onStart = limitedRate::reset)

    /** The stops that the replica receives while it is paused. */
    val pauseAllowance = PauseAllowance(clock)

    /** Number of runs whose stop the request limit holds back; other requests wait until they are sent. */
    internal var waitingStops = 0

    private var pausedUntilMillis = Long.MIN_VALUE

    /** Remaining time of the pause that the replica requested from this instance; 0 if it is not paused. */
    val remainingPauseMillis: Long get() = if (isPaused) pausedUntilMillis - clock.nowMillis() else 0

    val isPaused: Boolean get() = clock.nowMillis() < pausedUntilMillis

    /**
     * Pauses requests to the replica for [millis], as it requested; a longer pause requested earlier remains in effect.
     */
    fun pauseFor(millis: Long) {
        if (!isPaused && millis > 0) pauseAllowance.begin()
        pausedUntilMillis = maxOf(pausedUntilMillis, clock.nowMillis() + millis)
    }

    private var unreachableUntilMillis = Long.MIN_VALUE
    private var failedConnects = 0

    /** Whether the replica is not being avoided after a failed connection attempt. */
    val isReachable: Boolean get() = clock.nowMillis() >= unreachableUntilMillis

    /** Avoids the replica after a failed connection attempt, with exponential backoff on consecutive failures. */
    fun markUnreachable() {
        val factor = 1L shl failedConnects.coerceAtMost(MAXIMUM_DOUBLINGS)
        unreachableUntilMillis = clock.nowMillis() + UNREACHABLE_MILLIS * factor
        failedConnects++
    }

    /** Records a response of the replica, which resets the connection backoff. */
    fun markReachable() {
        failedConnects = 0
    }

    private var coldUntilMillis = seenAtMillis + entry.coldForMillis

    val isCold: Boolean get() = clock.nowMillis() < coldUntilMillis

    /** Updates the replica with a newer entry of the same incarnation. */
    fun update(newer: ReplicaEntry) {
        entry = newer
        if (newer.coldForMillis > 0) coldFor(newer.coldForMillis)
    }

    /** Treats the replica as cold for [millis] from now. */
    fun coldFor(millis: Long) {
        // Tokens from before would let all instances send at once.
        if (!isCold) coldRate.reset()
        coldUntilMillis = maxOf(coldUntilMillis, clock.nowMillis() + millis)
    }

    /** Marks the replica as leaving and resumes all callers of [awaitLeaving]. Only the first reason is kept. */
    fun leave(reason: LeaveReason) {
        if (departure.complete(reason)) {
            leaveReason = reason
            leavingSinceMillis = clock.nowMillis()
        }
    }

    private val vacated = MutableStateFlow(false)

    /** Whether runs are to move off the replica, to a new version of the service. */
    val isVacated: Boolean get() = vacated.value

    /** Sets whether runs are to move off the replica. */
    fun setVacated(isVacated: Boolean) {
        vacated.value = isVacated
    }

    /** Suspends until runs are to move off the replica. */
    suspend fun awaitVacated() {
        vacated.first { it }
    }

    /** Suspends until the replica is leaving, and returns the reason. */
    suspend fun awaitLeaving(): LeaveReason = departure.await()

    override fun toString(): String = entry.id.value

    private companion object {
        /**
         * As many calls may be queued on a replica as it executes; waiting for one response time still meets the
         * objective.
         */
        const val CALLS_PER_SLOT = 2

        /**
         * Initial backoff; the doublings cover the time until a crashed replica's entry expires or its process
         * restarts.
         */
        const val UNREACHABLE_MILLIS = 800L

        /**
         * From the fourth failure on, a replica is retried about every six seconds, roughly the length of a partition.
         */
        const val MAXIMUM_DOUBLINGS = 3
    }
}
