/*
 * Performance parameters of one simulated model engine. With the defaults and a mix of long and short outputs, the
 * engine runs out of key-value memory before it reaches its batch limit; docs/decisions/memory-pressure.md lists the
 * resulting capacity.
 */
package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * Sizes and speeds of one model engine.
 *
 * @property name name of the engine, used as the prefix of its start id
 * @property memoryTokens capacity of the key-value memory in tokens
 * @property blockTokens tokens per memory block and per block of a prompt's hash chain
 * @property reserveShare fraction of the memory that admission keeps free for the growth of running requests
 * @property maximumConcurrent maximum batch size
 * @property stepBaseMillis duration of a step with an empty batch
 * @property stepPerSequenceMillis additional duration per request in the batch
 * @property stepPerKiloTokenMillis additional duration per 1,000 tokens in the key-value memory
 * @property prefillMillisPerToken additional duration per prompt token computed in the step
 * @property prefillTokensPerStep maximum number of prompt tokens computed in one step
 * @property resumeWindowMillis how long a finished generation can still be read
 * @property models models that are loaded when the engine starts
 */
@Serializable
data class EngineSettings(
    val name: String = "engine",
    val memoryTokens: Int = 65_536,
    val blockTokens: Int = 16,
    val reserveShare: Double = 0.01,
    val maximumConcurrent: Int = 128,
    val stepBaseMillis: Double = 12.0,
    val stepPerSequenceMillis: Double = 0.2,
    val stepPerKiloTokenMillis: Double = 0.05,
    val prefillMillisPerToken: Double = 0.02,
    val prefillTokensPerStep: Int = 512,
    val resumeWindowMillis: Long = 30_000,
    val models: List<String> = listOf("letters"),
    val cold: Cold = Cold(),
    val cache: Cache = Cache(),
    val report: Report = Report(),
    val orders: Orders = Orders(),
) {
    /**
     * Behaviour of a cold engine. Only steps warm the engine up; an idle engine stays cold.
     *
     * @property slowdown factor applied to the step duration right after a start
     * @property safeConcurrent batch size that is safe right after a start; it grows geometrically during warm-up
     * @property warmingSteps number of steps until the engine is warm
     * @property toleratedSteps number of consecutive steps above the safe batch size before the engine crashes
     * @property restartMillis time from a crash until the engine accepts requests again
     */
    @Serializable
    data class Cold(
        val slowdown: Double = 4.0,
        val safeConcurrent: Int = 4,
        val warmingSteps: Int = 300,
        val toleratedSteps: Int = 20,
        val restartMillis: Long = 8_000,
    )

    /**
     * The prompt-prefix cache and its event feed.
     *
     * @property blocks capacity of the cache in blocks
     * @property delayMillis delay between a change and the publication of its event
     * @property gapProbability probability that an event is lost after its number was assigned
     * @property keptEvents maximum number of events retained for reading
     */
    @Serializable
    data class Cache(
        val blocks: Int = 2_048,
        val delayMillis: Long = 300,
        val gapProbability: Double = 0.02,
        val keptEvents: Int = 4_096,
    )

    /** The load report is sampled every [sampleMillis] and lags behind the current state by [lagMillis]. */
    @Serializable
    data class Report(
        val lagMillis: Long = 300,
        val sampleMillis: Long = 50,
    )

    /** [checksFencing] rejects orders with a stale fencing number; [loadMillis] is the duration of a model load. */
    @Serializable
    data class Orders(
        val checksFencing: Boolean = true,
        val loadMillis: Long = 5_000,
    )
}
