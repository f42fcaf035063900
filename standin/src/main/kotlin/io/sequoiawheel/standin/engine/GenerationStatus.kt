package io.sequoiawheel.standin.engine

/**
 * Progress of one generation inside the engine.
 *
 * @property produced number of tokens produced so far; all of them can be read again
 * @property isDone whether the output is complete
 */
data class GenerationStatus(
    val produced: Int,
    val isDone: Boolean,
)
