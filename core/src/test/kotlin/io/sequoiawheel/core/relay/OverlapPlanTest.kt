package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class OverlapPlanTest {
    private val plan = OverlapPlan()

    // A source that worked was left for an attempt at a replica that had crashed, and the stream was lost.
    @Test
    fun `a source in progress is kept when the head of the newest attempt is late`() {
        assertEquals(OverlapDecision.WAIT, plan.decide(LATE_MILLIS - 1, isSourceInProgress = true))
        assertEquals(OverlapDecision.GIVE_UP_NEWEST, plan.decide(LATE_MILLIS, isSourceInProgress = true))
    }

    // Guards against a generation that never moves because each head takes longer than the limit.
    @Test
    fun `the third attempt is waited for`() {
        repeat(2) { assertEquals(OverlapDecision.GIVE_UP_NEWEST, plan.decide(LATE_MILLIS, isSourceInProgress = true)) }
        assertEquals(OverlapDecision.WAIT, plan.decide(LATE_MILLIS, isSourceInProgress = true))
    }

    // A run whose stream broke off or stalled worked on beside the newest attempt until the head of that one.
    @Test
    fun `runs without progress are left when the head of the newest attempt is late`() {
        assertEquals(OverlapDecision.WAIT, plan.decide(LATE_MILLIS - 1, isSourceInProgress = false))
        assertEquals(OverlapDecision.LEAVE_OTHERS, plan.decide(LATE_MILLIS, isSourceInProgress = false))
    }

    private companion object {
        const val LATE_MILLIS = 220L
    }
}
