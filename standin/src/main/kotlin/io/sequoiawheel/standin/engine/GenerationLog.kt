package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/**
 * The published output of one generation at one engine.
 *
 * @property tokens number of tokens that can be read
 * @property end how the generation ended, or null while it is running
 * @property starts number of times a generation with this id was started at the engine
 */
data class GenerationLog(
    val generation: RequestId,
    val tokens: Int = 0,
    val end: End? = null,
    val starts: Int = 1,
) {
    /** How a generation ended. */
    enum class End {
        /** The output is complete. */
        DONE,

        /** The generation was cancelled. */
        CANCELLED,

        /** The engine crashed. */
        LOST,
    }
}
