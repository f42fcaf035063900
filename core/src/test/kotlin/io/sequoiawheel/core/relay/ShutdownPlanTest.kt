package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The stages of a shutdown that was requested at second 1, with a grace period of 7.5 s. */
class ShutdownPlanTest {
    private val plan = ShutdownPlan(startMillis = 1_000, graceMillis = 7_500)

    @Test
    fun `connections are accepted until the load balancer has removed the instance`() {
        assertEquals(ShutdownStage.ACCEPTING, plan.stage(1_000, isClosing = false, openConnections = 0))
        assertEquals(ShutdownStage.ACCEPTING, plan.stage(3_599, isClosing = false, openConnections = 3))
        assertEquals(ShutdownStage.CLOSING, plan.stage(3_600, isClosing = false, openConnections = 3))
    }

    // Without requests in progress, an open connection may still deliver one.
    @Test
    fun `the shutdown lasts until all connections are closed`() {
        assertEquals(ShutdownStage.CLOSING, plan.stage(4_000, isClosing = true, openConnections = 1))
        assertEquals(ShutdownStage.ENDED, plan.stage(4_000, isClosing = true, openConnections = 0))
    }

    @Test
    fun `open connections do not extend the grace period`() {
        assertEquals(ShutdownStage.CLOSING, plan.stage(8_499, isClosing = true, openConnections = 1))
        assertEquals(ShutdownStage.ENDED, plan.stage(8_500, isClosing = true, openConnections = 1))
        assertEquals(0, plan.remainingMillis(8_500))
    }

    // The clock goes on while the process is paused; the listener must not outlive the shutdown.
    @Test
    fun `connections are told to close before the end, also after a pause beyond the grace period`() {
        assertEquals(ShutdownStage.CLOSING, plan.stage(20_000, isClosing = false, openConnections = 0))
        assertEquals(ShutdownStage.ENDED, plan.stage(20_000, isClosing = true, openConnections = 5))
    }

    @Test
    fun `a grace period shorter than the removal from the load balancer ends the acceptance`() {
        val short = ShutdownPlan(startMillis = 0, graceMillis = 1_000)
        assertEquals(ShutdownStage.CLOSING, short.stage(1_000, isClosing = false, openConnections = 1))
    }
}
