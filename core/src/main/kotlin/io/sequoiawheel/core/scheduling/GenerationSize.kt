package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.GenerationDemand

/** The expected time that a generation occupies an engine that also runs others. */
object GenerationSize {
    /** Prompt tokens that an engine reads in a millisecond in chunks between the steps of running generations. */
    const val PROMPT_TOKENS_PER_MILLI = 7.0

    /** Time of a step with a few running generations. */
    private const val STEP_MILLIS = 8.0

    /** Prompts of up to 4,000 tokens with an output of a few events; a long output takes several seconds. */
    private const val SHORT_MILLIS = 1_000.0

    /** Returns the time to read a prompt of [promptTokens] tokens. */
    fun promptMillis(promptTokens: Long): Double = promptTokens / PROMPT_TOKENS_PER_MILLI

    /** Returns the time from the start of the prompt to the last event. */
    fun occupancyMillis(demand: GenerationDemand): Double =
        promptMillis(demand.promptTokens.toLong()) + demand.outputTokens * STEP_MILLIS

    /** Whether the generation leaves its engine soon after its prompt was read. */
    fun isShort(demand: GenerationDemand): Boolean = occupancyMillis(demand) <= SHORT_MILLIS
}
