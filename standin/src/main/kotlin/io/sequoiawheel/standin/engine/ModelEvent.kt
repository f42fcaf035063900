package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/** An event of one generation during a step. */
sealed interface ModelEvent {
    /** Id of the generation that the event belongs to. */
    val generation: RequestId

    /** A token was produced at the zero-based [offset]; its text is [EngineModel.tokenText]. */
    data class Token(
        override val generation: RequestId,
        val offset: Int,
    ) : ModelEvent

    /** The generation is complete with [tokens] tokens. */
    data class Done(
        override val generation: RequestId,
        val tokens: Int,
    ) : ModelEvent

    /** The generation was preempted and is queued for recomputation. Engines do not report this to clients. */
    data class Preempted(
        override val generation: RequestId,
    ) : ModelEvent

    /** The generation was lost in a crash of the engine. */
    data class Lost(
        override val generation: RequestId,
    ) : ModelEvent
}
