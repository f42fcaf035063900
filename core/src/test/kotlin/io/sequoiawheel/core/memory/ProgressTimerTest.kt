package io.sequoiawheel.core.memory

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ProgressTimerTest {
    private val timer = ProgressTimer(ProgressRule(15_000, 60_000, minimumBytesPerSecond = 64), startMillis = 1_000)

    @Test
    fun `a message that does not begin has the time of a stall`() {
        assertEquals(15_000, timer.remainingMillis(1_000))
        assertEquals(0, timer.remainingMillis(16_000))
    }

    // A caller that sends a byte now and then kept its body, and its memory, without limit.
    @Test
    fun `a trickle breaks the minimum rate`() {
        for (second in 2L..15L) timer.record(1, second * 1_000)
        assertEquals(1_218, timer.remainingMillis(15_000))
    }

    @Test
    fun `a steady message has the total time`() {
        for (second in 2L..60L) timer.record(1_000, second * 1_000)
        assertEquals(1_000, timer.remainingMillis(60_000))
        assertEquals(0, timer.remainingMillis(61_000))
    }
}
