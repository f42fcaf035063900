/*
 * Placement of requests on replicas. A replica that requested a pause receives no requests until it ends, and one that
 * names a request limit only what the limit allows; the rest goes to the other replicas only while they have capacity,
 * to avoid a cascading overload. A replica that does not read its requests is passed over.
 */
package io.sequoiawheel.core.relay

import org.apache.commons.rng.UniformRandomProvider

/** The result of placing a request. */
sealed interface Placement {
    /** The request is sent to [replica]. */
    class Assigned(
        val replica: Replica,
    ) : Placement

    /** No replica is available now; one is expected to accept requests again after [retryAfterMillis]. */
    class Deferred(
        val retryAfterMillis: Long,
    ) : Placement

    /** No replica accepts requests, and none has announced when it will. */
    data object Unavailable : Placement
}

/**
 * Places requests among the usable replicas of a service. Confined to one thread.
 *
 * @param limiter the request limits that replicas name; consulted, not consumed
 * @param overflow the limits on calls to replicas that take those of a restricted one
 * @param bound the bound on what all instances have in flight to an engine
 * @param tryAdmit consumes one request of the rate limit of a cold replica, or returns false if it is exhausted; always
 *   returns true for warm replicas
 */
class ReplicaPlacement(
    private val selection: ReplicaSelection,
    private val random: UniformRandomProvider,
    private val limiter: RequestLimiter,
    private val overflow: OverflowLimiter,
    private val bound: InFlightBound,
    private val tryAdmit: (Replica, RelayService) -> Boolean,
) {
    /**
     * Places a plain call.
     *
     * @param tried replicas already tried for this call
     * @param mayReuseTried whether they may be tried again if there are no others
     */
    fun forCall(
        usable: List<Replica>,
        tried: Set<Replica>,
        mayReuseTried: Boolean,
        service: RelayService,
    ): Placement {
        val candidates =
            candidates(usable.filter(::isOpen), tried, mayReuseTried, restrictedRoom(usable, ::hasRoomForCall))
        val ready = candidates.filter { tryAdmit(it, service) }
        val chosen = selection.forCall(ready.ifEmpty { candidates.filter { !it.isCold } })
        if (chosen != null && !isRestricted(chosen) && usable.any(::isRestricted)) overflow.admit(chosen)
        return place(chosen, usable, FULL_CALLS_MILLIS, ::isOpen)
    }

    /** Places a generation of [demand]; replicas in [excluded] are used only if there is no other. */
    fun forGeneration(
        usable: List<Replica>,
        excluded: Set<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
        service: RelayService,
    ): Placement {
        val accepts = { replica: Replica -> isOpen(replica) && bound.hasRoom(replica, engine) }
        val hasRoom = restrictedRoom(usable) { it.load.hasRoomFor(demand, engine) }
        val candidates = candidates(usable.filter(accepts), excluded, mayReuseTried = true, hasRoom)
        val ready = candidates.filter { tryAdmit(it, service) }
        return place(selection.forGeneration(ready, demand, engine), usable, FULL_GENERATIONS_MILLIS, accepts)
    }

    /** Whether [replica] of [service] may hold a copy beside what all instances have in flight to it. */
    fun hasRoomForCopy(
        replica: Replica,
        service: RelayService,
    ): Boolean = service.engine == null || bound.hasRoom(replica, service.engine)

    /** Returns the condition on candidates among [usable]: [hasRoom], if some are restricted. */
    private fun restrictedRoom(
        usable: List<Replica>,
        hasRoom: (Replica) -> Boolean,
    ): (Replica) -> Boolean = if (usable.any(::isRestricted)) hasRoom else { _ -> true }

    private fun candidates(
        open: List<Replica>,
        excluded: Set<Replica>,
        mayReuseTried: Boolean,
        hasRoom: (Replica) -> Boolean,
    ): List<Replica> {
        val reading = open.filter { !it.unreadRequests.isStalled }.ifEmpty { open }
        val untried = reading.filter { it !in excluded }
        val candidates = if (untried.isEmpty() && mayReuseTried) reading else untried
        return candidates.filter(hasRoom)
    }

    /**
     * @param fullMillis time after which a replica that is full now is expected to accept a request
     * @param accepts whether a replica accepts a request of this kind now
     */
    private fun place(
        chosen: Replica?,
        usable: List<Replica>,
        fullMillis: Long,
        accepts: (Replica) -> Boolean,
    ): Placement {
        if (chosen != null) return Placement.Assigned(chosen)
        if (usable.all(accepts)) return Placement.Unavailable
        val waits = usable.map { if (isOpen(it) || it.unreadRequests.isFull) fullMillis else waitMillis(it) }
        return Placement.Deferred(earliest(waits))
    }

    /** Returns the time after which callers may retry if none of [usable] accepts requests now, or null if one does. */
    fun retryAfterMillis(usable: List<Replica>): Long? =
        if (usable.isNotEmpty() && usable.none(::isOpen)) earliest(usable.map(::closedMillis)) else null

    private fun closedMillis(replica: Replica) =
        maxOf(waitMillis(replica), if (replica.unreadRequests.isFull) FULL_CALLS_MILLIS else 0)

    /** Returns the time until [replica] accepts a request from this instance: the end of its pause, or its limit. */
    fun waitMillis(replica: Replica): Long = maxOf(replica.remainingPauseMillis, limiter.waitMillis(replica))

    /**
     * Whether [replica] accepts a request now: it requested no pause, its limit allows a request, and not too much of
     * the requests sent so far waits to be read.
     */
    private fun isOpen(replica: Replica) =
        !replica.isPaused && limiter.mayAdmit(replica) && !replica.unreadRequests.isFull

    /** Whether [replica] accepts fewer requests than it has capacity for, so that the others receive more. */
    private fun isRestricted(replica: Replica) = replica.isPaused || replica.requestLimit.perSecond != null

    /** Returns the shortest of [waits] with jitter. */
    private fun earliest(waits: List<Long>): Long {
        val waitMillis = waits.min()
        val jitterMillis = (waitMillis * JITTER_SHARE).coerceAtLeast(MINIMUM_JITTER_MILLIS)
        return waitMillis + (random.nextDouble() * jitterMillis).toLong()
    }

    private fun hasRoomForCall(replica: Replica) =
        replica.load.totalRunning < replica.callCapacity && (isRestricted(replica) || overflow.mayAdmit(replica))

    companion object {
        /** Time within which the calls that currently fill the replicas' queues have finished. */
        const val FULL_CALLS_MILLIS = 150L

        /** About one running generation ends per second, which frees a slot. */
        const val FULL_GENERATIONS_MILLIS = 700L

        /** Jitter as a share of the wait, so that callers refused together do not retry at the same time. */
        private const val JITTER_SHARE = 0.5
        private const val MINIMUM_JITTER_MILLIS = 200.0
    }
}
