/*
 * Expected service times of generations. An engine runs its generations in one batch; the prompts that it reads are
 * split into chunks, one per step of the batch, so prompts delay the running streams and these delay the prompts.
 */
package io.sequoiawheel.core.pace

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import kotlin.math.ceil

/** Estimates how long a replica takes for generations, given its known load and pace. */
interface ServiceTimeEstimator {
    /** Returns the expected time until the first event of a generation of [demand] that is sent to [replica] now. */
    fun firstEventMillis(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
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
    ): Double {
        val load = replica.load
        val chunks = ceil((load.totalPromptTokens + demand.promptTokens) / CHUNK_TOKENS)
        val running = load.totalRunning.coerceAtMost(engine.slots)
        val stepMillis = stepMillis(running + 1)
        val reading = chunks * (CHUNK_MILLIS + if (running > 0) stepMillis else 0.0)
        val firstSteps = engine.tokensPerEvent * stepMillis
        return (reading + firstSteps) * replica.pace.factor() + memoryWaitMillis(replica, demand, engine)
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
    ): Double {
        val running = (replica.load.totalRunning + 1).coerceAtMost(engine.slots)
        return engine.tokensPerEvent * (stepMillis(running) + CHUNK_MILLIS) * replica.pace.usual()
    }

    /** Returns the time until running generations have freed the memory that [demand] lacks. */
    private fun memoryWaitMillis(
        replica: Replica,
        demand: GenerationDemand,
        engine: EngineProfile,
    ): Double {
        val load = replica.load
        val missing = load.totalTokens + demand.tokens - engine.memoryTokens
        if (missing <= 0 || load.totalTokens <= 0) return 0.0
        val events = demand.outputTokens.toDouble() / engine.tokensPerEvent.coerceAtLeast(1)
        val runMillis = events.coerceAtLeast(MINIMUM_EVENTS) * eventGapMillis(replica, engine)
        return runMillis * missing / load.totalTokens
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
