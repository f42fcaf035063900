package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RunStopPlanTest {
    private val plan = RunStopPlan(START_MILLIS, DEADLINE_MILLIS, hasStarted = true)

    // A refusal or a lost answer was followed by a limited number of requests, after which the run went on.
    @Test
    fun `a refusal, a lost answer or a listed replica out of reach proves no end of a run`() {
        for (answer in listOf(StopAnswer.REFUSED, StopAnswer.NO_RESPONSE, StopAnswer.UNREACHABLE)) {
            assertFalse(plan.isEnd(answer, isListed = true, DEADLINE_MILLIS - 1), "$answer")
        }
        assertTrue(plan.isEnd(StopAnswer.STOPPED, isListed = true, START_MILLIS))
        assertTrue(plan.isEnd(StopAnswer.NO_SUCH_RUN, isListed = true, START_MILLIS))
    }

    // A request that waits in the queue of a replica is not known as a run, and started after it was asked to stop.
    @Test
    fun `an unknown run that had not started may start later`() {
        val waiting = RunStopPlan(START_MILLIS, DEADLINE_MILLIS, hasStarted = false)
        assertFalse(waiting.isEnd(StopAnswer.NO_SUCH_RUN, isListed = true, START_MILLIS + 2_999))
        assertTrue(waiting.isEnd(StopAnswer.NO_SUCH_RUN, isListed = true, START_MILLIS + 3_000))
        assertTrue(waiting.isEnd(StopAnswer.STOPPED, isListed = true, START_MILLIS))
    }

    // Guards against one failed connection to a replica that has left the list and works on, and against requests to
    // the address of a process that has ended for the whole time of the generation.
    @Test
    fun `a replica that is neither listed nor reachable for some seconds runs nothing`() {
        assertFalse(plan.isEnd(StopAnswer.UNREACHABLE, isListed = false, START_MILLIS + 2_999))
        assertTrue(plan.isEnd(StopAnswer.UNREACHABLE, isListed = false, START_MILLIS + 3_000))
        assertFalse(plan.isEnd(StopAnswer.REFUSED, isListed = false, START_MILLIS))
    }

    // A pause or a limit held the stop back, which was taken for a replica that had ended.
    @Test
    fun `a replica that was not asked to stop runs on`() {
        assertFalse(plan.isEnd(StopAnswer.HELD_BACK, isListed = false, START_MILLIS + 3_000))
    }

    // The address of a replica that has ended may be in use again.
    @Test
    fun `a replica whose address another one serves runs nothing`() {
        val waiting = RunStopPlan(START_MILLIS, DEADLINE_MILLIS, hasStarted = false)
        assertTrue(waiting.isEnd(StopAnswer.REPLACED, isListed = true, START_MILLIS))
    }

    @Test
    fun `requests become rarer and end with the run`() {
        assertEquals(20, plan.delayMillis(START_MILLIS))
        assertEquals(60, plan.delayMillis(START_MILLIS + 240))
        assertEquals(500, plan.delayMillis(START_MILLIS + 2_000))
        assertEquals(1_000, plan.delayMillis(START_MILLIS + 8_000))
        assertNull(plan.delayMillis(DEADLINE_MILLIS - 1_000))
    }

    private companion object {
        const val START_MILLIS = 5_000L
        const val DEADLINE_MILLIS = 25_000L
    }
}
