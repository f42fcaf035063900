package io.sequoiawheel.core.admission

/**
 * The predicted memory use of one generation whose output length is uncertain.
 *
 * @property heldTokens prompt and produced tokens
 * @property remainingTokens remaining output tokens at evenly spaced quantiles; all generations of a replica have the
 *   same number of quantiles
 */
data class GenerationForecast(
    val heldTokens: Int,
    val remainingTokens: List<Int>,
)
