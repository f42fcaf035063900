package io.sequoiawheel.core.rollout

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RolloutVerdictTest {
    private fun step(
        elapsedMillis: Long,
        shiftedMillis: Long,
    ): RolloutStep {
        val share =
            RolloutShare("desk", "v2", 6, 12_000, elapsedMillis, RolloutStage.SHIFTING, false, 100, 10, oldRuns = 3)
        return RolloutVerdict.assess(share, shiftedMillis).step
    }

    // A shift that began after an outage of the store was complete at the next check, and all old runs broke off.
    @Test
    fun `a shift that begins when the verdict is due still takes its time`() {
        assertEquals(RolloutStep.WAIT, step(elapsedMillis = 10_700, shiftedMillis = 100))
        assertEquals(RolloutStep.WAIT, step(elapsedMillis = 12_100, shiftedMillis = 1_500))
        assertEquals(RolloutStep.COMPLETE, step(elapsedMillis = 14_300, shiftedMillis = 3_700))
        assertEquals(RolloutStep.COMPLETE, step(elapsedMillis = 10_700, shiftedMillis = 3_500))
    }
}
