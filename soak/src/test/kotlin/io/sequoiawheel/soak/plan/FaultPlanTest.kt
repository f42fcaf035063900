package io.sequoiawheel.soak.plan

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FaultPlanTest {
    private fun plan(seed: Long) = FaultPlan.create(seed, durationMillis = 120_000, 4, FaultKind.entries)

    @Test
    fun `a seed gives the same plan each time, and another seed another one`() {
        assertEquals(plan(7), plan(7))
        assertNotEquals(plan(7), plan(8))
    }

    /** Guards against plans that stop every instance at once, whose runs would put nothing to the test. */
    @Test
    fun `half of the instances are left alone by faults that stop instances`() {
        for (seed in 1L..50) {
            val stopping = plan(seed).faults.filter { it.kind.stopsInstance }
            for (fault in stopping) {
                val before = stopping.filter { it.atMillis <= fault.atMillis }
                val stopped = before.filter { it.atMillis + it.durationMillis + 9_000 > fault.atMillis }
                assertTrue(stopped.size <= 2, "seed $seed stops $stopped")
                assertEquals(stopped.size, stopped.distinctBy { it.target }.size)
            }
        }
    }

    @Test
    fun `fifty plans contain every kind of fault, and faults that overlap`() {
        val plans = (1L..50).map(::plan)
        assertEquals(FaultKind.entries.toSet(), plans.flatMap { it.faults }.map { it.kind }.toSet())
        assertTrue(
            plans.all { plan ->
                plan.faults.zipWithNext().any { (first, second) ->
                    first.atMillis + first.durationMillis > second.atMillis
                }
            },
        )
    }
}
