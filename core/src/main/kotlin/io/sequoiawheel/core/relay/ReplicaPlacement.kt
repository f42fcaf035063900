/*
 * Placement of requests on replicas. A replica that requested a pause receives no requests until it ends; its share
 * goes to the other replicas only while they have capacity, to avoid a cascading overload.
 */
package io.sequoiawheel.core.relay

import org.apache.commons.rng.UniformRandomProvider

/** The result of placing a request. */
sealed interface Placement {
    /** The request is sent to [replica]. */
    class Assigned(
        val replica: Replica,
    ) : Placement

    /** No replica is available now; a paused replica accepts requests again after at most [retryAfterMillis]. */
    class Deferred(
        val retryAfterMillis: Long,
    ) : Placement

    /** No replica accepts requests, and none has announced when it will. */
    data object Unavailable : Placement
}

/**
 * Places requests among the usable replicas of a service. Confined to one thread.
 *
 * @param tryAdmit consumes one request of the rate limit of a cold replica, or returns false if it is exhausted; always
 *   returns true for warm replicas
 */
class ReplicaPlacement(
    private val selection: ReplicaSelection,
    private val random: UniformRandomProvider,
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
        val candidates = candidates(usable, tried, mayReuseTried) { it.hasRoomForCall() }
        val ready = candidates.filter { tryAdmit(it, service) }
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
        val candidates = candidates(usable, excluded, mayReuseTried = true) { it.hasRoomFor(demand, engine) }
        val ready = candidates.filter { tryAdmit(it, service) }
        return place(selection.forGeneration(ready, demand, engine), usable)
    }

    private fun candidates(
        usable: List<Replica>,
        excluded: Set<Replica>,
        mayReuseTried: Boolean,
        hasRoom: (Replica) -> Boolean,
    ): List<Replica> {
        val unpaused = usable.filter { !it.isPaused }
        val untried = unpaused.filter { it !in excluded }
        val candidates = if (untried.isEmpty() && mayReuseTried) unpaused else untried
        return if (unpaused.size == usable.size) candidates else candidates.filter(hasRoom)
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
        val jitterMillis = (waitMillis * JITTER_SHARE).coerceAtLeast(MINIMUM_JITTER_MILLIS)
        return waitMillis + (random.nextDouble() * jitterMillis).toLong()
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
        const val JITTER_SHARE = 0.5
        const val MINIMUM_JITTER_MILLIS = 200.0
    }
}
