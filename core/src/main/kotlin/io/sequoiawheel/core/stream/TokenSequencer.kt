package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.EngineEvent

/**
 * Checks the sequence of the events of one generation, which may arrive over several connections, and detects duplicate
 * and missing tokens. Not thread-safe: used by one coroutine.
 *
 * @param generation the only generation whose events are accepted
 * @param firstOffset the offset of the first token to release
 */
class TokenSequencer(
    private val generation: RequestId,
    firstOffset: Int = 0,
) {
    /** The offset of the next token to release; equals the number of released tokens if the first offset is 0. */
    var nextOffset: Int = firstOffset
        private set

    /** Returns what to do with [event]. A released token counts as delivered as soon as this returns. */
    fun accept(event: EngineEvent): Action =
        when {
            event.generation != generation -> Action.UNEXPECTED
            event is EngineEvent.Token -> acceptToken(event)
            event is EngineEvent.Done -> acceptDone(event)
            else -> Action.UNEXPECTED
        }

    private fun acceptToken(token: EngineEvent.Token): Action {
        if (token.offset < nextOffset) return Action.DUPLICATE
        if (token.offset > nextOffset) return Action.GAP
        nextOffset++
        return Action.RELEASE
    }

    private fun acceptDone(done: EngineEvent.Done): Action =
        when {
            done.tokens == nextOffset -> Action.COMPLETE
            done.tokens > nextOffset -> Action.GAP
            else -> Action.UNEXPECTED
        }

    /** What the caller must do with one event. */
    enum class Action {
        /** Deliver this token. */
        RELEASE,

        /** Drop this token; it was delivered before. */
        DUPLICATE,

        /** Drop the connection and resume from [nextOffset]; tokens are missing. */
        GAP,

        /** Drop the connection; the event is not part of this generation. */
        UNEXPECTED,

        /** Every token was delivered. */
        COMPLETE,
    }
}
