/*
 * Selection of a replica for a generation where replicas report their speed. The cost of a replica is expressed as a
 * share of the value of a response: the probability that this one, or a stream that runs there, becomes late, and a
 * little for the memory and the time that it takes from later requests. Instances see the same figures at the same
 * time, so each chooses at random among the replicas of nearly the same cost.
 */
package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.exp
import kotlin.math.roundToInt

/**
 * Selects among replicas by expected time to the first event and expected pauses. Confined to one thread.
 *
 * @param areStartsKnown whether the other instances of the zone announce the generations that they start
 */
internal class PacedSelection(
    private val ownZone: ZoneName,
    private val random: UniformRandomProvider,
    private val estimator: BatchServiceTimeEstimator,
    private val areStartsKnown: () -> Boolean = { false },
) {
    /**
     * Returns the replica for a generation of [demand], or null if [candidates] is empty.
     *
     * Other instances decide on the same loads at the same time. The generations that they are expected to send before
     * these loads change are placed together with this one, and one of the places is taken at random.
     */
    fun forGeneration(
        candidates: List<Replica>,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Replica? {
        if (candidates.size < 2) return candidates.firstOrNull()
        val loads = candidates.mapTo(ArrayList(), EngineLoad::of)
        val costs = candidates.indices.mapTo(ArrayList()) { cost(candidates[it], demand, engine, loads[it]) }
        val explored = candidates.map { mayExplore(it, demand, engine) }
        val places = ArrayList<Int>()
        repeat(unknownRequests(candidates, demand) + 1) {
            val index = choose(costs, explored)
            places += index
            loads[index] += demand
            costs[index] = cost(candidates[index], demand, engine, loads[index])
        }
        return candidates[places[random.nextInt(places.size)]]
    }

    /**
     * Returns the number of generations that are expected to be sent to this zone while a message about the load is on
     * its way: a share of those whose prompts are not read yet, since reading one takes a few times as long.
     */
    private fun unknownRequests(
        candidates: List<Replica>,
        demand: GenerationDemand,
    ): Int {
        if (areStartsKnown()) return 0
        val promptTokens = candidates.sumOf { if (it.entry.zone == ownZone) it.load.remotePromptTokens else 0L }
        val prompts = promptTokens.toDouble() / demand.promptTokens.coerceAtLeast(MINIMUM_PROMPT_TOKENS)
        return (prompts * UNKNOWN_SHARE).roundToInt().coerceAtMost(candidates.size)
    }

    /** Returns the index of one of the lowest [costs], chosen at random, lower ones more often. */
    private fun choose(
        costs: List<Double>,
        explored: List<Boolean>,
    ): Int {
        val lowest = costs.min()
        val weights =
            costs.mapIndexed { index, cost ->
                val excess = cost - lowest
                val weight = if (excess < MAXIMUM_EXCESS) exp(-excess / SPREAD) else 0.0
                if (explored[index]) maxOf(weight, EXPLORED_WEIGHT) else weight
            }
        var remaining = random.nextDouble() * weights.sum()
        for ((index, weight) in weights.withIndex()) {
            remaining -= weight
            if (remaining < 0) return index
        }
        return costs.indexOf(lowest)
    }

    /** Whether [replica] gets an occasional request at any cost, so that a wrong estimate is corrected. */
    private fun mayExplore(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
    ) = replica.entry.zone == ownZone &&
        memoryShare(EngineLoad.of(replica), demand, engine) <= FULL_MEMORY_SHARE

    private fun memoryShare(
        load: EngineLoad,
        demand: GenerationDemand,
        engine: EngineProfile,
    ) = (load.tokens + demand.tokens).toDouble() / engine.memoryTokens

    private fun cost(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
        load: EngineLoad,
    ): Double {
        val zoneCost = if (replica.entry.zone == ownZone) 0.0 else ZONE_COST
        val coldCost = if (replica.isCold) COLD_COST else 0.0
        val firstEventMillis = estimator.firstEventMillis(replica, demand, engine, load)
        return firstEventCost(firstEventMillis, demand) + pauseCost(replica, demand, engine, load, firstEventMillis) +
            memoryCost(memoryShare(load, demand, engine)) + replica.load.failureShare + zoneCost + coldCost
    }

    private fun firstEventCost(
        firstEventMillis: Double,
        demand: GenerationDemand,
    ): Double {
        val objectiveMillis = demand.firstEventObjectiveMillis.takeIf { it > 0 } ?: DEFAULT_OBJECTIVE_MILLIS
        val share = firstEventMillis / objectiveMillis
        val timeCost = share.coerceAtMost(MAXIMUM_SHARE) * TIME_COST
        return exceedance(share / TYPICAL_SHARE, FIRST_EVENT_UNCERTAINTY) + timeCost
    }

    /** The expected number of streams, this one included, whose pauses become too long while a prompt is read. */
    private fun pauseCost(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
        load: EngineLoad,
        firstEventMillis: Double,
    ): Double {
        val limitMillis = demand.eventGapMillis.takeIf { it > 0 } ?: DEFAULT_GAP_MILLIS
        val pauseMillis = estimator.readingGapMillis(replica, engine, load)
        val inSpell = exceedance(pauseMillis * SPELL_FACTOR / limitMillis, PAUSE_UNCERTAINTY)
        val now = exceedance(pauseMillis * replica.pace.speed() / limitMillis, PAUSE_UNCERTAINTY)
        val meetsSpell = (SPELL_SHARE + firstEventMillis / SPELL_INTERVAL_MILLIS).coerceAtMost(1.0)
        val streams = load.running.coerceAtMost(engine.slots) * LONG_SHARE
        val isLong = demand.outputTokens >= LONG_EVENTS * engine.tokensPerEvent
        val own = if (isLong) inSpell * OWN_PAUSE_SHARE else 0.0
        return ((maxOf(now, inSpell * meetsSpell) * streams + own) * LATE_COST).coerceAtMost(MAXIMUM_PAUSE_COST)
    }

    private fun memoryCost(share: Double): Double {
        val overcommit = maxOf(0.0, share - FULL_MEMORY_SHARE) * OVERCOMMIT_COST_FACTOR
        val preemption = if (share > 1) PREEMPTION_COST else 0.0
        return share * MEMORY_COST + overcommit + preemption
    }

    /** Returns the probability that a value exceeds its limit, given its expected [share] of the limit. */
    private fun exceedance(
        share: Double,
        uncertainty: Double,
    ) = 1 / (1 + exp((1 - share) / uncertainty))

    private companion object {
        /** Difference in cost at which a replica is chosen a third as often. */
        const val SPREAD = 0.06

        /** Replicas whose cost is higher by this are not chosen, so that few requests leave the zone at random. */
        const val MAXIMUM_EXCESS = 0.2

        /** A few in a thousand requests go to any replica of the zone that has the memory. */
        const val EXPLORED_WEIGHT = 0.003

        /** Loads are known after 100 to 200 ms; reading a prompt takes 300 to 500 ms with others ahead of it. */
        const val UNKNOWN_SHARE = 0.4
        const val MINIMUM_PROMPT_TOKENS = 100

        /** Part of the value of a response that a local zone may cost more before traffic crosses zones. */
        const val ZONE_COST = 0.25
        const val COLD_COST = 0.25

        const val DEFAULT_OBJECTIVE_MILLIS = 1_800L
        const val DEFAULT_GAP_MILLIS = 180L

        /** The first event is late in half of the cases if it is expected at this share of the objective. */
        const val TYPICAL_SHARE = 0.8
        const val FIRST_EVENT_UNCERTAINTY = 0.15
        const val PAUSE_UNCERTAINTY = 0.08

        /** Cost of an expected first event at the objective, beside the risk that it is late. */
        const val TIME_COST = 0.2
        const val MAXIMUM_SHARE = 5.0

        /** Replicas are slower by this factor for 15 in 100 of the time, in spells that start every 4 s. */
        const val SPELL_FACTOR = 2.5
        const val SPELL_SHARE = 0.15
        const val SPELL_INTERVAL_MILLIS = 4_000.0

        /** About half of the running generations are long enough that a pause matters. */
        const val LONG_SHARE = 0.5
        const val LONG_EVENTS = 20

        /** Probability that a long stream meets a spell while another prompt is read. */
        const val OWN_PAUSE_SHARE = 0.3

        /** A late stream is worth a sixth. */
        const val LATE_COST = 0.8

        const val MEMORY_COST = 0.4

        /** Above this share of memory, generations that exceed their estimate are likely to be preempted. */
        const val FULL_MEMORY_SHARE = 0.85
        const val OVERCOMMIT_COST_FACTOR = 4.0

        /** Above the sum of all other costs, so that memory is overcommitted only if no replica has enough. */
        const val PREEMPTION_COST = 6.0
        const val MAXIMUM_PAUSE_COST = 2.0
    }
}
