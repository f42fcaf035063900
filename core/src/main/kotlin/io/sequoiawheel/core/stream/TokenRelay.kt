package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.EngineEvent

/**
 * Orders the events of one generation, whatever number of connections they arrive over. Not thread-safe: one coroutine
 * owns a relay.
 *
 * @param generation the only generation whose events are accepted
 * @param firstOffset the offset from which tokens are released
 */
class TokenRelay(
    private val generation: RequestId,
    firstOffset: Int = 0,
) {
    /** The offset of the next token to release; also the number of tokens released if the relay started at 0. */
    var nextOffset: Int = firstOffset
        private set

    /** Decides what to do with [event]. A released token counts as delivered from here on. */
    fun accept(event: EngineEvent): Step =
        when {
            event.generation != generation -> Step.FOREIGN
            event is EngineEvent.Token -> acceptToken(event)
            event is EngineEvent.Done -> acceptDone(event)
            else -> Step.FOREIGN
        }

    private fun acceptToken(token: EngineEvent.Token): Step {
        if (token.offset < nextOffset) return Step.DUPLICATE
        if (token.offset > nextOffset) return Step.GAP
        nextOffset++
        return Step.RELEASE
    }

    private fun acceptDone(done: EngineEvent.Done): Step =
        when {
            done.tokens == nextOffset -> Step.COMPLETE
            done.tokens > nextOffset -> Step.GAP
            else -> Step.FOREIGN
        }

    /** What the owner of a relay does with one event. */
    enum class Step {
        /** Deliver this token. */
        RELEASE,

        /** Drop this token; it was delivered before. */
        DUPLICATE,

        /** Drop the connection and resume from [nextOffset]; tokens are missing. */
        GAP,

        /** Drop the connection; the event is not part of this generation. */
        FOREIGN,

        /** Every token was delivered. */
        COMPLETE,
    }
}
