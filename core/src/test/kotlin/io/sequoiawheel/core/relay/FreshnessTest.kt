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
    fun `nothing is fresh before the first proof`() = assertFalse(freshness.isFresh())

    @Test
    fun `a proof dates from before the call, not from its response`() {
        val asOf = freshness.now()
        pass(1_000)
        freshness.proven(asOf)
        assertEquals(1_000, freshness.ageMillis())
        pass(2_901)
        assertFalse(freshness.isFresh())
    }

    @Test
    fun `a suspended machine, whose monotonic clock stood still, has no fresh configuration`() {
        freshness.proven(freshness.now())
        wallMillis += 5_000
        assertFalse(freshness.isFresh())
        assertTrue(freshness.isWithdrawn())
        freshness.proven(freshness.now())
        assertTrue(freshness.isFresh())
    }

    @Test
    fun `a time of day that is set back does not make old knowledge fresh`() {
        freshness.proven(freshness.now())
        pass(2_000)
        wallMillis -= 4_000
        assertFalse(freshness.isFresh())
    }

    @Test
    fun `a response that was on its way while the machine was suspended proves nothing`() {
        val asOf = freshness.now()
        wallMillis += 6_000
        freshness.proven(asOf)
        assertFalse(freshness.isFresh())
    }
}
