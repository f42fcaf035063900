package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DeliveryTest {
    @Test
    fun `an event sent by two replicas is delivered once`() {
        val delivery = Delivery(resumeAfter = null)
        val decisions = listOf(1L, 2L, 2L, 1L, 3L).map(delivery::decide)
        assertEquals(
            listOf(
                DeliveryDecision.DELIVER,
                DeliveryDecision.DELIVER,
                DeliveryDecision.SKIP,
                DeliveryDecision.SKIP,
                DeliveryDecision.DELIVER,
            ),
            decisions,
        )
        assertEquals(3, delivery.delivered)
    }

    @Test
    fun `an event after a gap is not delivered`() {
        val delivery = Delivery(resumeAfter = 4)
        assertEquals(DeliveryDecision.GAP, delivery.decide(6))
        assertEquals(DeliveryDecision.DELIVER, delivery.decide(5))
    }
}
