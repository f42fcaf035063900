package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FreshnessTest {
    private var monotonicMillis = 0L
    private var wallMillis = 1_000_000L
    private val freshness = Freshness({ monotonicMillis }, { wallMillis }, limitMillis = 3_900)

    private fun pass(millis: Long) {
        monotonicMillis += millis
        wallMillis += millis
    }

    @Test
    fun `the configuration is not fresh before the first confirmation`() = assertFalse(freshness.isFresh())

    @Test
    fun `a confirmation is dated by the start of the call, not by its response`() {
        val asOf = freshness.now()
        pass(1_000)
        freshness.confirm(asOf)
        assertEquals(1_000, freshness.ageMillis())
        pass(2_901)
        assertFalse(freshness.isFresh())
    }

    @Test
    fun `the configuration is not fresh after a suspend that stopped the monotonic clock`() {
        freshness.confirm(freshness.now())
        wallMillis += 5_000
        assertFalse(freshness.isFresh())
        assertTrue(freshness.isInvalidated())
        freshness.confirm(freshness.now())
        assertTrue(freshness.isFresh())
    }

    @Test
    fun `setting the wall clock back does not make an old configuration fresh`() {
        freshness.confirm(freshness.now())
        pass(2_000)
        wallMillis -= 4_000
        assertFalse(freshness.isFresh())
    }

    @Test
    fun `a response in flight during a suspend confirms nothing`() {
        val asOf = freshness.now()
        wallMillis += 6_000
        freshness.confirm(asOf)
        assertFalse(freshness.isFresh())
    }
}
