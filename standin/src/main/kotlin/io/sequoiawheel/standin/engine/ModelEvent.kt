package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/** What happened to one generation in a step. */
sealed interface ModelEvent {
    /** The generation. */
    val generation: RequestId

    /** The token at [offset], counted from 0; its text is [EngineModel.tokenText]. */
    data class Token(
        override val generation: RequestId,
        val offset: Int,
    ) : ModelEvent

    /** The generation is complete with [tokens] tokens. */
    data class Done(
        override val generation: RequestId,
        val tokens: Int,
    ) : ModelEvent

    /** The generation lost its memory and waits to recompute. Engines do not tell their callers. */
    data class Preempted(
        override val generation: RequestId,
    ) : ModelEvent

    /** The engine failed and the generation is gone. */
    data class Lost(
        override val generation: RequestId,
    ) : ModelEvent
}
