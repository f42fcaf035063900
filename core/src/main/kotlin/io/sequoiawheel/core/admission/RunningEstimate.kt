package io.sequoiawheel.core.admission

/**
 * One generation in the memory of a replica.
 *
 * @property heldTokens prompt and produced tokens
 * @property remainingTokens predicted tokens that are still to come
 */
data class RunningEstimate(
    val heldTokens: Int,
    val remainingTokens: Int,
)
