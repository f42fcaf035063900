/*
 * The priority class with which a generation is sent to an engine. Engines start the prompts of a more urgent class
 * first. If memory runs out, they preempt running generations of a less urgent class, whose streams are then late as a
 * whole and whose prompts are read again. A class therefore depends on the memory of the engine: it orders the prompts
 * while the memory suffices for all of them, and makes no request displace a running one when it does not.
 */
package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.ReplicaLoad

object PriorityClasses {
    /** Runs that are moved to another replica, whose callers are in the middle of a stream. */
    const val CONTINUATION = 0

    /**
     * New generations that the memory of their engine does not suffice for. It is the least urgent class in use, so
     * that they wait until memory is free.
     */
    const val WITHOUT_MEMORY = 7

    /**
     * New long generations that can no longer meet their objective, or whose workspace exceeds its share. Engines
     * preempt them first; short ones are sent with [WITHOUT_MEMORY] instead, since they hardly delay others and their
     * deadlines are short.
     */
    const val DEFERRABLE = 8

    /**
     * Classes of new generations by rank, first those with a short and then those with a long expected time. Class 5
     * is that of requests without one.
     */
    private val BY_RANK = listOf(1 to 2, 3 to 4, 6 to WITHOUT_MEMORY)

    /**
     * Returns the class of a new generation.
     *
     * @param rank priority of the workspace or route; 0 is the most urgent
     * @param load load on the selected engine, without this generation
     * @param isDeferrable whether requests that can still meet their objective go before it
     */
    fun ofNew(
        rank: Int,
        demand: GenerationDemand,
        load: ReplicaLoad,
        engine: EngineProfile,
        isDeferrable: Boolean = false,
    ): Int {
        if (isDeferrable) return if (GenerationSize.isShort(demand)) WITHOUT_MEMORY else DEFERRABLE
        if (!load.hasRoomFor(demand, engine)) return WITHOUT_MEMORY
        val (short, long) = BY_RANK[rank.coerceIn(BY_RANK.indices)]
        return if (GenerationSize.isShort(demand)) short else long
    }
}
