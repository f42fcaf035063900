package io.sequoiawheel.core.admission

/**
 * One generation whose end is uncertain.
 *
 * @property heldTokens prompt and produced tokens
 * @property remainingTokens tokens that are still to come, at evenly spaced quantiles; the same number of quantiles for
 *   all generations of a replica
 */
data class GenerationForecast(
    val heldTokens: Int,
    val remainingTokens: List<Int>,
)
