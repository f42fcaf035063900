/*
 * Replica selection. Plain calls go to the replica with the smallest expected wait, generations to one with enough free
 * memory. Both prefer the local availability zone among otherwise equal replicas.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.pace.BatchServiceTimeEstimator
import io.sequoiawheel.core.pace.PacedSelection
import org.apache.commons.rng.UniformRandomProvider

/**
 * The expected size of a generation, which needs [tokens] of memory when it ends.
 *
 * @property maximumOutputTokens the output after which the generation ends at the latest
 * @property firstEventObjectiveMillis time within which the first event meets the objective, or 0 if there is none
 * @property eventGapMillis longest interval between events that meets the objective, or 0 if there is none
 */
data class GenerationDemand(
    val promptTokens: Int,
    val outputTokens: Int,
    val maximumOutputTokens: Int = outputTokens,
    val firstEventObjectiveMillis: Long = 0,
    val eventGapMillis: Long = 0,
) {
    val tokens: Long get() = promptTokens.toLong() + outputTokens
}

/**
 * Selects among usable replicas by lowest cost. Confined to one thread.
 *
 * @param areStartsKnown whether the other instances of the zone announce the generations that they start
 */
class ReplicaSelection(
    private val ownZone: ZoneName,
    private val random: UniformRandomProvider,
    areStartsKnown: () -> Boolean = { false },
) {
    private val paced = PacedSelection(ownZone, random, BatchServiceTimeEstimator(), areStartsKnown)

    /** Returns the replica for a plain call, or null if [candidates] is empty. */
    fun forCall(candidates: List<Replica>): Replica? = reachable(candidates).minByOrNull { callCost(it) }

    /**
     * Returns the replica for a generation of [demand], or null if [candidates] is empty. If none has enough free
     * memory, the one that is expected to have it first is selected; engines queue generations that they cannot start.
     * Where replicas report their speed, the expected times decide.
     */
    fun forGeneration(
        candidates: List<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Replica? {
        val reachable = reachable(candidates)
        if (candidates.any { it.pace.isKnown }) return paced.forGeneration(reachable, demand, engine)
        return reachable.minByOrNull { generationCost(it, demand, engine) }
    }

    /**
     * Returns the replica that stores a copy of a generation of [demand], or null if none can do so without displacing
     * generations.
     *
     * @param sourceZone the zone in which the generation runs
     * @param isUrgent whether the generation's replica is leaving, so that the duration of the copy matters most;
     *   otherwise the copy is preferably placed in another zone than the generation, and in the local zone if the
     *   generation is remote
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

    /** Returns the cost as a share of the memory of a replica. */
    private fun copyCost(
        replica: Replica,
        engine: EngineProfile,
        sourceZone: ZoneName,
        isUrgent: Boolean,
    ): Double {
        val zone = replica.entry.zone
        val isInPreferredZone =
            when {
                isUrgent -> zone == sourceZone
                sourceZone == ownZone -> zone != ownZone
                else -> zone == ownZone
            }
        val zonePenalty =
            when {
                isInPreferredZone -> 0.0
                isUrgent -> URGENT_COPY_ZONE_COST_SHARE
                else -> COPY_ZONE_COST_SHARE
            }
        return replica.load.totalTokens.toDouble() / engine.memoryTokens + zonePenalty +
            speedPenalty(
                replica,
                isUrgent,
            ) +
            jitter() * JITTER_SHARE
    }

    /** Memory of fast replicas is left to generations, which finish sooner there; a copy only lies in memory. */
    private fun speedPenalty(
        replica: Replica,
        isUrgent: Boolean,
    ) = if (isUrgent || !replica.pace.isKnown) 0.0 else BACKUP_SPEED_COST_SHARE / replica.pace.usual()

    /** Returns the cost in milliseconds. */
    private fun callCost(replica: Replica): Double {
        val load = replica.load
        val slots = replica.entry.slots.coerceAtLeast(1)
        val queueing = maxOf(0.0, (load.totalRunning + 1.0) / slots - QUEUE_FREE_SHARE)
        val base = load.expectedResponseMillis * replica.pace.speed()
        val failurePenalty = load.failureShare * FAILURE_COST_MILLIS
        val zonePenalty = if (replica.entry.zone == ownZone) 0.0 else ZONE_COST_MILLIS
        val coldPenalty = if (replica.isCold) COLD_COST_MILLIS else 0.0
        return base * (1 + queueing) + load.totalRunning * base / slots +
            failurePenalty + zonePenalty + coldPenalty + jitter()
    }

    /** Returns the cost as a share of the memory of a replica. */
    private fun generationCost(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Double {
        val load = replica.load
        val memory = (load.totalTokens + demand.tokens).toDouble() / engine.memoryTokens
        val overcommit = maxOf(0.0, memory - FULL_MEMORY_SHARE) * OVERCOMMIT_COST_FACTOR
        val zonePenalty = if (replica.entry.zone == ownZone) 0.0 else ZONE_COST_SHARE
        val coldPenalty = if (replica.isCold) COLD_COST_SHARE else 0.0
        val prefill = load.totalPromptTokens.toDouble() / PROMPT_TOKENS_PER_COST
        return memory + overcommit + prefill + load.totalRunning * RUN_COST_SHARE + load.failureShare +
            zonePenalty + coldPenalty + jitter() * JITTER_SHARE
    }

    private fun reachable(candidates: List<Replica>): List<Replica> =
        candidates.filter { it.isReachable }.ifEmpty { candidates }

    private fun jitter() = random.nextDouble()

    private companion object {
        /** Share of the slots that may be in use before queueing is expected. */
        const val QUEUE_FREE_SHARE = 0.5

        /** Cost of a failed call to the caller, expressed as time. */
        const val FAILURE_COST_MILLIS = 400.0

        /** Half a typical response time; calls within the local zone survive a partition between zones. */
        const val ZONE_COST_MILLIS = 25.0

        /** Cost of using a cold replica, expressed as time. */
        const val COLD_COST_MILLIS = 30.0

        /** Share of memory by which a replica in another zone must be freer to justify the risk of a partition. */
        const val ZONE_COST_SHARE = 0.25

        /** A generation slows the others on its replica by less than 2% per step, and its prompt delays them. */
        const val RUN_COST_SHARE = 0.01

        /** Cold replicas are used if the others are fuller by a quarter of the memory. */
        const val COLD_COST_SHARE = 0.25

        /**
         * Number of queued prompt tokens that costs as much as the whole memory of a replica: about as many as a
         * replica that also generates processes within the objective for the first event.
         */
        const val PROMPT_TOKENS_PER_COST = 12_000.0

        /** Above this share of memory, generations that exceed their estimate are likely to be preempted. */
        const val FULL_MEMORY_SHARE = 0.85

        /** Makes any replica with enough free memory cheaper than one without. */
        const val OVERCOMMIT_COST_FACTOR = 4.0

        /**
         * Backups must leave the remaining memory to new generations and urgent copies. If memory does not suffice for
         * all backups, more streams are lost at 0.55 and at 0.85.
         */
        const val COPY_MEMORY_SHARE = 0.7

        /**
         * Without a copy the generation is lost, and a replica without enough memory refuses it within milliseconds.
         */
        const val URGENT_COPY_MEMORY_SHARE = 1.0

        /** Copies between zones take twice as long, and all copies from a leaving replica share its network link. */
        const val URGENT_COPY_ZONE_COST_SHARE = 1.0

        /**
         * A backup in another zone than its source survives the loss of the source zone's replicas, and one in the
         * local zone survives a partition; an urgent copy between zones may not finish in time. Another placement is
         * chosen only if it has much more free memory.
         */
        const val COPY_ZONE_COST_SHARE = 0.5

        /** A replica of twice the speed receives backups only if the others are fuller by half of the memory. */
        const val BACKUP_SPEED_COST_SHARE = 0.5

        /** Randomizes the choice among instances that see the same loads. */
        const val JITTER_SHARE = 0.03
    }
}
