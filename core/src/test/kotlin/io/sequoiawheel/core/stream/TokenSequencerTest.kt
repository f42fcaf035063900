package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.EngineEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TokenSequencerTest {
    private val ownGeneration = RequestId("own")

    private fun token(
        offset: Int,
        generation: RequestId = ownGeneration,
    ) = EngineEvent.Token(generation, offset, "t$offset")

    /** Guards against delivering a token twice, out of order or from another generation (P1). */
    @Test
    fun `tokens are released once and in order`() {
        val sequencer = TokenSequencer(ownGeneration)
        assertEquals(TokenSequencer.Action.RELEASE, sequencer.accept(token(0)))
        assertEquals(TokenSequencer.Action.GAP, sequencer.accept(token(2)))
        assertEquals(TokenSequencer.Action.DUPLICATE, sequencer.accept(token(0)))
        assertEquals(TokenSequencer.Action.UNEXPECTED, sequencer.accept(token(1, RequestId("other"))))
        assertEquals(TokenSequencer.Action.RELEASE, sequencer.accept(token(1)))
        assertEquals(2, sequencer.nextOffset)
    }

    /** Guards against reporting an incomplete generation as complete (P4). */
    @Test
    fun `an end before the last token is a gap`() {
        val sequencer = TokenSequencer(ownGeneration, 3)
        assertEquals(TokenSequencer.Action.GAP, sequencer.accept(EngineEvent.Done(ownGeneration, 5)))
        assertEquals(TokenSequencer.Action.RELEASE, sequencer.accept(token(3)))
        assertEquals(TokenSequencer.Action.RELEASE, sequencer.accept(token(4)))
        assertEquals(TokenSequencer.Action.COMPLETE, sequencer.accept(EngineEvent.Done(ownGeneration, 5)))
    }
}
