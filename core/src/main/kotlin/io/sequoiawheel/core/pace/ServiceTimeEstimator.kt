/*
 * Expected service times of generations. An engine runs its generations in one batch; the prompts that it reads are
 * split into chunks, one per step of the batch, so prompts delay the running streams and these delay the prompts.
 */
package io.sequoiawheel.core.pace

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import kotlin.math.ceil

/**
 * The load on an engine.
 *
 * @property running generations in progress
 * @property tokens memory that they will hold when they end
 * @property promptTokens prompts that are not read yet
 */
data class EngineLoad(
    val running: Int,
    val tokens: Long,
    val promptTokens: Long,
) {
    /** Returns this load with a further generation of [demand]. */
    operator fun plus(demand: GenerationDemand) =
        EngineLoad(running + 1, tokens + demand.tokens, promptTokens + demand.promptTokens)

    companion object {
        /** Returns the known load on [replica]. */
        fun of(replica: Replica) = with(replica.load) { EngineLoad(totalRunning, totalTokens, totalPromptTokens) }
    }
}

/** Estimates how long a replica takes for generations, given its load and pace. */
interface ServiceTimeEstimator {
    /** Returns the expected time until the first event of a generation of [demand] that is sent to [replica] now. */
    fun firstEventMillis(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
        load: EngineLoad = EngineLoad.of(replica),
    ): Double

    /** Returns the expected time between the events of a stream on [replica] with its present load. */
    fun eventGapMillis(
        replica: Replica,
        engine: EngineProfile,
    ): Double
}

/** Estimates from the load on the engine's batch, the prompts ahead, and the pace of the replica. */
class BatchServiceTimeEstimator : ServiceTimeEstimator {
    override fun firstEventMillis(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
        load: EngineLoad,
    ): Double {
        val chunks = ceil((load.promptTokens + demand.promptTokens) / CHUNK_TOKENS)
        val running = load.running.coerceAtMost(engine.slots)
        val stepMillis = stepMillis(running + 1)
        val reading = chunks * (CHUNK_MILLIS + if (running > 0) stepMillis else 0.0)
        val firstSteps = engine.tokensPerEvent * stepMillis
        return (reading + firstSteps) * replica.pace.factor() + memoryWaitMillis(replica, demand, engine, load)
    }

    override fun eventGapMillis(
        replica: Replica,
        engine: EngineProfile,
    ): Double = usualGapMillis(replica, engine) * replica.pace.factor()

    /** Returns the time between events that the load of [replica] explains, at the usual speed. */
    fun usualGapMillis(
        replica: Replica,
        engine: EngineProfile,
    ): Double {
        val running = replica.load.totalRunning.coerceIn(1, engine.slots)
        val chunkMillis = if (replica.load.totalPromptTokens > 0) CHUNK_MILLIS else 0.0
        return engine.tokensPerEvent * (stepMillis(running) + chunkMillis)
    }

    /** Returns the pause at the slow-moving factor while the replica reads a prompt, with one more run. */
    fun readingGapMillis(
        replica: Replica,
        engine: EngineProfile,
        load: EngineLoad,
    ): Double {
        val running = (load.running + 1).coerceAtMost(engine.slots)
        return engine.tokensPerEvent * (stepMillis(running) + CHUNK_MILLIS) * replica.pace.usual()
    }

    /** Returns the time until running generations have freed the memory that [demand] lacks. */
    private fun memoryWaitMillis(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
        load: EngineLoad,
    ): Double {
        val missing = load.tokens + demand.tokens - engine.memoryTokens
        if (missing <= 0 || load.tokens <= 0) return 0.0
        val events = demand.outputTokens.toDouble() / engine.tokensPerEvent.coerceAtLeast(1)
        val runMillis = events.coerceAtLeast(MINIMUM_EVENTS) * eventGapMillis(replica, engine)
        return runMillis * missing / load.tokens
    }

    private fun stepMillis(running: Int) = STEP_MILLIS + running * STEP_MILLIS_PER_RUN

    private companion object {
        /** Time of a step of the batch, and what each running generation adds to it. */
        const val STEP_MILLIS = 7.0
        const val STEP_MILLIS_PER_RUN = 0.12

        /** An engine reads prompts in chunks of this size between its steps, 14 tokens per millisecond. */
        const val CHUNK_TOKENS = 112.0
        const val CHUNK_MILLIS = 8.0

        /** Memory is held by long generations even if the new one is short. */
        const val MINIMUM_EVENTS = 100.0
    }
}
