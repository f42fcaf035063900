package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * Faults to inject into a model engine.
 *
 * @property turnCold resets the warm-up progress without a restart
 * @property refuseNext number of upcoming generations to refuse with the header that states they did not run
 * @property crossNextTokens number of upcoming tokens to send with the id of another generation
 * @property repeatNextTokens number of upcoming tokens to send twice
 */
@Serializable
data class EngineFaults(
    val turnCold: Boolean = false,
    val refuseNext: Int = 0,
    val crossNextTokens: Int = 0,
    val repeatNextTokens: Int = 0,
)
