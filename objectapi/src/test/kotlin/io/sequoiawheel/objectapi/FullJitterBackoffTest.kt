package io.sequoiawheel.objectapi

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FullJitterBackoffTest {
    /** Guards against delays beyond 20 s, and against delays that bunch at the ceiling and synchronise the daemons. */
    @Test
    fun `delays spread over the whole range and never exceed the ceiling`() {
        val backoff = FullJitterBackoff(RandomSource.XO_RO_SHI_RO_128_PP.create(7L))
        val first = backoff.nextDelayMillis()
        assertTrue(first in 0..FullJitterBackoff.FIRST_CEILING_MILLIS)
        repeat(8) { backoff.nextDelayMillis() }
        val late = List(1000) { backoff.nextDelayMillis() }
        assertTrue(late.all { it in 0..FullJitterBackoff.LAST_CEILING_MILLIS })
        assertTrue(late.count { it < FullJitterBackoff.LAST_CEILING_MILLIS / 2 } in 400..600)
    }
}

class CallBudgetTest {
    /** Guards against a daemon that exceeds its share of the platform's rate. */
    @Test
    fun `the budget refills at its rate and never beyond the burst`() {
        var now = 0L
        val budget = CallBudget(callsPerSecond = 10.0, burst = 2, clock = { now })
        assertEquals(listOf(0L, 0L, 101L), List(3) { budget.take() })
        now += 100
        assertEquals(0L, budget.take())
        now += 60_000
        assertEquals(2, List(5) { budget.take() }.count { it == 0L })
    }
}
