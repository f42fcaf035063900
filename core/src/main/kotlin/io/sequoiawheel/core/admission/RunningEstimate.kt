package io.sequoiawheel.core.admission

/**
 * The memory use and predicted remaining length of one generation at a replica.
 *
 * @property heldTokens prompt and produced tokens
 * @property remainingTokens predicted output tokens that remain
 */
data class RunningEstimate(
    val heldTokens: Int,
    val remainingTokens: Int,
)
