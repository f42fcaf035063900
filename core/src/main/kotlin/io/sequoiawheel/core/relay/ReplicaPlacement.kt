/*
 * Placement of requests on replicas. A paused replica, which asked to receive no requests for a while, receives none;
 * its share goes to the other replicas only while they have capacity, to avoid a cascading overload.
 */
package io.sequoiawheel.core.relay

import org.apache.commons.rng.UniformRandomProvider

/** The result of placing a request. */
sealed interface Placement {
    /** The request is sent to [replica]. */
    class Assigned(
        val replica: Replica,
    ) : Placement

    /** No replica is available now; the first paused replica accepts requests again after [retryAfterMillis]. */
    class Deferred(
        val retryAfterMillis: Long,
    ) : Placement

    /** No replica accepts requests, and none has announced when it will. */
    data object Unavailable : Placement
}

/**
 * Places requests among the usable replicas of a service. Confined to one thread.
 *
 * @param mayStart consumes one request of the rate limit of a cold replica; always returns true for warm replicas
 */
class ReplicaPlacement(
    private val selection: ReplicaSelection,
    private val random: UniformRandomProvider,
    private val mayStart: (Replica, RelayService) -> Boolean,
) {
    /**
     * Places a plain call.
     *
     * @param tried replicas already tried for this call; they are tried again only if [mayReturn]
     */
    fun forCall(
        usable: List<Replica>,
        tried: Set<Replica>,
        mayReturn: Boolean,
        service: RelayService,
    ): Placement {
        val candidates = candidates(usable, tried, mayReturn) { it.hasRoomForCall() }
        val ready = candidates.filter { mayStart(it, service) }
        return place(selection.forCall(ready.ifEmpty { candidates.filter { !it.isCold } }), usable)
    }

    /** Places a generation of [demand]; replicas in [excluded] are used only if there is no other. */
    fun forGeneration(
        usable: List<Replica>,
        excluded: Set<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
        service: RelayService,
    ): Placement {
        val candidates = candidates(usable, excluded, mayReturn = true) { it.hasRoomFor(demand, engine) }
        val ready = candidates.filter { mayStart(it, service) }
        return place(selection.forGeneration(ready, demand, engine), usable)
    }

    private fun candidates(
        usable: List<Replica>,
        excluded: Set<Replica>,
        mayReturn: Boolean,
        hasRoom: (Replica) -> Boolean,
    ): List<Replica> {
        val asked = usable.filter { !it.isPaused }
        val fresh = asked.filter { it !in excluded }
        val candidates = if (fresh.isEmpty() && mayReturn) asked else fresh
        return if (asked.size == usable.size) candidates else candidates.filter(hasRoom)
    }

    private fun place(
        chosen: Replica?,
        usable: List<Replica>,
    ): Placement {
        if (chosen != null) return Placement.Assigned(chosen)
        val paused = usable.filter { it.isPaused }
        return if (paused.isEmpty()) Placement.Unavailable else Placement.Deferred(waitMillis(paused))
    }

    /** Returns the time after which callers may retry if all of [usable] are paused, or null if they are not. */
    fun retryAfterMillis(usable: List<Replica>): Long? =
        if (usable.isNotEmpty() && usable.all { it.isPaused }) waitMillis(usable) else null

    private fun waitMillis(paused: List<Replica>): Long {
        val waitMillis = paused.minOf { it.remainingPauseMillis }
        val spreadMillis = (waitMillis * SPREAD_SHARE).coerceAtLeast(MINIMUM_SPREAD_MILLIS)
        return waitMillis + (random.nextDouble() * spreadMillis).toLong()
    }

    private fun Replica.hasRoomForCall() = load.totalRunning < entry.slots * CALLS_PER_SLOT

    private fun Replica.hasRoomFor(
        demand: GenerationDemand,
        engine: EngineProfile,
    ) = load.totalRunning < engine.slots && load.totalTokens + demand.tokens <= engine.memoryTokens

    private companion object {
        /**
         * As many calls may be queued on a replica as it executes; waiting for one response time still meets the
         * objective.
         */
        const val CALLS_PER_SLOT = 2

        /** Jitter as a share of the wait, so that callers refused together do not retry at the same time. */
        const val SPREAD_SHARE = 0.5
        const val MINIMUM_SPREAD_MILLIS = 200.0
    }
}
