package io.sequoiawheel.standin.engine

/**
 * What the engine holds of one generation.
 *
 * @property produced tokens that exist; all of them can be read again
 * @property isDone whether the output is complete
 */
data class GenerationStatus(
    val produced: Int,
    val isDone: Boolean,
)
