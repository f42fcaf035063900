package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/**
 * What one engine produced for one generation and made visible so far.
 *
 * @property tokens tokens that can be read
 * @property end how it ended, or null while it runs
 * @property starts how often a generation with this id was started at the engine
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

        /** It was cancelled. */
        CANCELLED,

        /** The engine failed. */
        LOST,
    }
}
