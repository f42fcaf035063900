package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/**
 * An order for faults of a model engine.
 *
 * @property turnCold the engine becomes cold without a restart
 * @property refuseNext how many of the next generations are refused with proof that they did not run
 * @property crossNextTokens how many of the next tokens carry the id of another generation
 * @property repeatNextTokens how many of the next tokens are sent twice
 */
@Serializable
data class EngineFaults(
    val turnCold: Boolean = false,
    val refuseNext: Int = 0,
    val crossNextTokens: Int = 0,
    val repeatNextTokens: Int = 0,
)
