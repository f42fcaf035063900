/*
 * Which replica receives a request. Plain calls go to the replica with the smallest expected wait; generations go where
 * the memory that they will need is free. Both prefer the instance's own availability zone among equals.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.UniformRandomProvider

/** What a generation will need: [tokens] of memory at its end. */
data class GenerationDemand(
    val promptTokens: Int,
    val outputTokens: Int,
) {
    val tokens: Long get() = promptTokens.toLong() + outputTokens
}

/** Chooses among usable replicas. Confined to one thread. */
class ReplicaSelection(
    private val ownZone: ZoneName,
    private val random: UniformRandomProvider,
) {
    /** Returns the replica for a plain call, or null if [candidates] is empty. */
    fun forCall(candidates: List<Replica>): Replica? = reachable(candidates).minByOrNull { callCost(it) }

    /**
     * Returns the replica for a generation of [demand], or null if [candidates] is empty. Where none has room, the one
     * that will have room first by its load is chosen; engines queue what they cannot start.
     */
    fun forGeneration(
        candidates: List<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Replica? = reachable(candidates).minByOrNull { generationCost(it, demand, engine) }

    /**
     * Returns the replica that keeps a copy of a generation of [demand], or null if none can without crowding out
     * generations.
     *
     * @param sourceZone where the generation runs
     * @param isUrgent whether the generation's replica is leaving, so that the time of the copy decides; otherwise the
     *   copy is best kept in another zone than the generation, and at home if the generation is not
     */
    fun forCopy(
        candidates: List<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
        sourceZone: ZoneName,
        isUrgent: Boolean,
    ): Replica? =
        candidates
            .filter { it.isReachable && !it.isCold }
            .filter { it.load.totalTokens + demand.tokens <= engine.memoryTokens * copyMemoryShare(isUrgent) }
            .minByOrNull { copyCost(it, engine, sourceZone, isUrgent) }

    private fun copyMemoryShare(isUrgent: Boolean) = if (isUrgent) URGENT_COPY_MEMORY_SHARE else COPY_MEMORY_SHARE

    private fun copyCost(
        replica: Replica,
        engine: EngineProfile,
        sourceZone: ZoneName,
        isUrgent: Boolean,
    ): Double {
        val zone = replica.entry.zone
        val isWellPlaced =
            when {
                isUrgent -> zone == sourceZone
                sourceZone == ownZone -> zone != ownZone
                else -> zone == ownZone
            }
        val zonePenalty =
            when {
                isWellPlaced -> 0.0
                isUrgent -> URGENT_COPY_ZONE_COST_SHARE
                else -> COPY_ZONE_COST_SHARE
            }
        return replica.load.totalTokens.toDouble() / engine.memoryTokens + zonePenalty + jitter() * JITTER_SHARE
    }

    private fun callCost(replica: Replica): Double {
        val load = replica.load
        val slots = replica.entry.slots.coerceAtLeast(1)
        val queueing = maxOf(0.0, (load.totalRunning + 1.0) / slots - QUEUE_FREE_SHARE)
        val base = load.responseMillis ?: INITIAL_RESPONSE_MILLIS
        val failurePenalty = load.failureShare * FAILURE_COST_MILLIS
        val zonePenalty = if (replica.entry.zone == ownZone) 0.0 else ZONE_COST_MILLIS
        val coldPenalty = if (replica.isCold) COLD_COST_MILLIS else 0.0
        return base * (1 + queueing) + load.totalRunning * base / slots +
            failurePenalty + zonePenalty + coldPenalty + jitter()
    }

    private fun generationCost(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Double {
        val load = replica.load
        val memory = (load.totalTokens + demand.tokens).toDouble() / engine.memoryTokens
        val overfull = maxOf(0.0, memory - FULL_MEMORY_SHARE) * OVERFULL_COST_FACTOR
        val zonePenalty = if (replica.entry.zone == ownZone) 0.0 else ZONE_COST_SHARE
        val coldPenalty = if (replica.isCold) COLD_COST_SHARE else 0.0
        val reading = load.totalPromptTokens.toDouble() / PROMPT_TOKENS_PER_COST
        return memory + overfull + reading + load.totalRunning * RUN_COST_SHARE + load.failureShare +
            zonePenalty + coldPenalty + jitter() * JITTER_SHARE
    }

    private fun reachable(candidates: List<Replica>): List<Replica> =
        candidates.filter { it.isReachable }.ifEmpty { candidates }

    private fun jitter() = random.nextDouble()

    private companion object {
        /** Share of the slots that may be busy before queueing is expected. */
        const val QUEUE_FREE_SHARE = 0.5

        /** Assumed response time of a plain call before any was measured. */
        const val INITIAL_RESPONSE_MILLIS = 40.0

        /** What a failed call costs a caller, as time. */
        const val FAILURE_COST_MILLIS = 400.0

        /** Half a usual response time: calls in the own zone are not lost when zones are cut off from each other. */
        const val ZONE_COST_MILLIS = 25.0

        /** What starting at a cold replica costs, as time. */
        const val COLD_COST_MILLIS = 30.0

        /** Share of a replica's memory that must be freer elsewhere to risk a cut between zones. */
        const val ZONE_COST_SHARE = 0.25

        /** A run slows its neighbours by under 2% a step, and its prompt delays them. */
        const val RUN_COST_SHARE = 0.01

        /** Cold replicas are used when the others are a quarter fuller. */
        const val COLD_COST_SHARE = 0.25

        /**
         * Prompt tokens ahead that weigh as much as all of a replica's memory: a replica that also generates reads
         * about that many in the objective for the first event.
         */
        const val PROMPT_TOKENS_PER_COST = 12_000.0

        /** Memory beyond this share is likely to preempt generations that outgrow their estimate. */
        const val FULL_MEMORY_SHARE = 0.85

        /** Makes any replica with room cheaper than one without. */
        const val OVERFULL_COST_FACTOR = 4.0

        /**
         * Backups must leave the rest of the memory to generations that start and to urgent copies. Where memory does
         * not suffice for all backups, more streams are lost at 0.55 and at 0.85.
         */
        const val COPY_MEMORY_SHARE = 0.7

        /** Without a copy the generation is lost, and a replica that has no room refuses within milliseconds. */
        const val URGENT_COPY_MEMORY_SHARE = 1.0

        /** Copies between zones take twice as long, and all copies off a leaving replica share its link. */
        const val URGENT_COPY_ZONE_COST_SHARE = 1.0

        /**
         * A backup in another zone than its source outlives the loss of that zone's replicas, and one in the
         * instance's own zone outlives a cut; an urgent copy between zones may not end in time. Memory must be much
         * freer elsewhere to give that up.
         */
        const val COPY_ZONE_COST_SHARE = 0.5

        /** Breaks ties between instances that see the same loads. */
        const val JITTER_SHARE = 0.03
    }
}
