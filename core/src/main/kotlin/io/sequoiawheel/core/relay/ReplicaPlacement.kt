/*
 * Where a request goes, or that it is refused at once. A replica that asked for quiet receives nothing; what it would
 * have received goes to the others only as far as they have room, so that one after the other is not pushed over.
 */
package io.sequoiawheel.core.relay

import org.apache.commons.rng.UniformRandomProvider

/** Where a request is to be sent. */
sealed interface Placement {
    /** To [replica]. */
    class At(
        val replica: Replica,
    ) : Placement

    /** Nowhere now: the first replica that asked for quiet may be asked again after [afterMillis]. */
    class Later(
        val afterMillis: Long,
    ) : Placement

    /** Nowhere: no replica takes requests, and none has said when it will. */
    data object Nowhere : Placement
}

/**
 * Places requests among the usable replicas of a service. Confined to one thread.
 *
 * @param mayStart takes one request of the rate of a cold replica; warm replicas always allow it
 */
class ReplicaPlacement(
    private val selection: ReplicaSelection,
    private val random: UniformRandomProvider,
    private val mayStart: (Replica, RelayService) -> Boolean,
) {
    /**
     * Places a plain call.
     *
     * @param tried replicas that were asked for this call before; they are asked again only if [mayReturn]
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

    /** Places a generation of [demand], at a replica in [excluded] only if there is no other. */
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
        val asked = usable.filter { !it.isQuiet }
        val fresh = asked.filter { it !in excluded }
        val candidates = if (fresh.isEmpty() && mayReturn) asked else fresh
        return if (asked.size == usable.size) candidates else candidates.filter(hasRoom)
    }

    private fun place(
        chosen: Replica?,
        usable: List<Replica>,
    ): Placement {
        if (chosen != null) return Placement.At(chosen)
        val quiet = usable.filter { it.isQuiet }
        return if (quiet.isEmpty()) Placement.Nowhere else Placement.Later(waitMillis(quiet))
    }

    /** Returns when callers may come back while all of [usable] ask for quiet, or null if not all do. */
    fun comeBackMillis(usable: List<Replica>): Long? =
        if (usable.isNotEmpty() && usable.all { it.isQuiet }) waitMillis(usable) else null

    private fun waitMillis(quiet: List<Replica>): Long {
        val waitMillis = quiet.minOf { it.quietMillis }
        val spreadMillis = (waitMillis * SPREAD_SHARE).coerceAtLeast(MINIMUM_SPREAD_MILLIS)
        return waitMillis + (random.nextDouble() * spreadMillis).toLong()
    }

    private fun Replica.hasRoomForCall() = load.totalRunning < entry.slots * CALLS_PER_SLOT

    private fun Replica.hasRoomFor(
        demand: GenerationDemand,
        engine: EngineProfile,
    ) = load.totalRunning < engine.slots && load.totalTokens + demand.tokens <= engine.memoryTokens

    private companion object {
        /** As many calls may wait at a replica as run there; a wait of one response time is still on time. */
        const val CALLS_PER_SLOT = 2

        /** Callers that were refused together come back over this share of their wait. */
        const val SPREAD_SHARE = 0.5
        const val MINIMUM_SPREAD_MILLIS = 200.0
    }
}
