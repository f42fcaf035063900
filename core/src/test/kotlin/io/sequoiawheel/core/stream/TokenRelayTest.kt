package io.sequoiawheel.core.stream

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.EngineEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TokenRelayTest {
    private val own = RequestId("own")

    private fun token(
        offset: Int,
        generation: RequestId = own,
    ) = EngineEvent.Token(generation, offset, "t$offset")

    /** Guards against tokens that are delivered twice, out of order or from another generation (P1). */
    @Test
    fun `tokens are released once and in order`() {
        val relay = TokenRelay(own)
        assertEquals(TokenRelay.Step.RELEASE, relay.accept(token(0)))
        assertEquals(TokenRelay.Step.GAP, relay.accept(token(2)))
        assertEquals(TokenRelay.Step.DUPLICATE, relay.accept(token(0)))
        assertEquals(TokenRelay.Step.FOREIGN, relay.accept(token(1, RequestId("other"))))
        assertEquals(TokenRelay.Step.RELEASE, relay.accept(token(1)))
        assertEquals(2, relay.nextOffset)
    }

    /** Guards against an incomplete generation being reported as complete (P4). */
    @Test
    fun `an early end is a gap`() {
        val relay = TokenRelay(own, 3)
        assertEquals(TokenRelay.Step.GAP, relay.accept(EngineEvent.Done(own, 5)))
        assertEquals(TokenRelay.Step.RELEASE, relay.accept(token(3)))
        assertEquals(TokenRelay.Step.RELEASE, relay.accept(token(4)))
        assertEquals(TokenRelay.Step.COMPLETE, relay.accept(EngineEvent.Done(own, 5)))
    }
}
