/*
 * The physics of one model engine. The defaults describe an engine whose key-value memory, not its batch limit, is what
 * fills first under a mix of long and short outputs; docs/decisions/memory-pressure.md lists the capacity they give.
 */
package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * Sizes and speeds of one engine.
 *
 * @property name prefix of the start id
 * @property memoryTokens tokens that the key-value memory holds
 * @property blockTokens tokens per memory block and per block of a prompt's hash chain
 * @property reserveShare share of the memory that admission leaves free, so that running requests can grow
 * @property maximumConcurrent largest batch
 * @property stepBaseMillis duration of a step with an empty batch
 * @property stepPerSequenceMillis added per request in the batch
 * @property stepPerKiloTokenMillis added per 1,000 tokens in the key-value memory
 * @property prefillMillisPerToken added per prompt token computed in the step
 * @property prefillTokensPerStep largest number of prompt tokens computed in one step
 * @property resumeWindowMillis how long a finished generation stays readable
 * @property models models that are loaded at the start
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
     * Behaviour of a cold engine. Warming takes work: an idle engine stays cold.
     *
     * @property slowdown factor of the step duration right after the start
     * @property safeConcurrent batch that is safe right after the start; it grows geometrically while warming
     * @property warmingSteps steps until the engine is warm
     * @property toleratedSteps steps above the safe batch before the engine fails
     * @property restartMillis time from a failure until the engine accepts requests again
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
     * @property blocks blocks that the cache keeps
     * @property delayMillis time from a change to its event
     * @property gapProbability probability that an event is lost after it got its number
     * @property keptEvents events that can still be read
     */
    @Serializable
    data class Cache(
        val blocks: Int = 2_048,
        val delayMillis: Long = 300,
        val gapProbability: Double = 0.02,
        val keptEvents: Int = 4_096,
    )

    /** The load report shows the state of [lagMillis] ago, sampled every [sampleMillis]. */
    @Serializable
    data class Report(
        val lagMillis: Long = 300,
        val sampleMillis: Long = 50,
    )

    /** Whether orders with an old fencing number are rejected, and how long a load takes. */
    @Serializable
    data class Orders(
        val checksFencing: Boolean = true,
        val loadMillis: Long = 5_000,
    )
}
