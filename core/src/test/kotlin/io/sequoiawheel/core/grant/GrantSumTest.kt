package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GrantSumTest {
    private fun worlds(newPolicy: (GrantWorld, InstanceId) -> GrantPolicy): List<GrantWorld> =
        (1L..SEEDS).map { seed -> GrantWorld(seed, newPolicy).also { it.run(DURATION_MILLIS) } }

    private fun violations(worlds: List<GrantWorld>) = worlds.count { it.peakTokens > GrantWorld.CAPACITY }

    /** Guards against a test world in which nothing could ever go wrong. */
    @Test
    fun `a split by live instances and shares without credits exceed the capacity`() {
        val split = worlds { world, _ -> NaiveSplit(world) }
        val shares = worlds { world, self -> RegisteredShares(world, self) }
        assertTrue(violations(split) > 0)
        assertTrue(violations(shares) > 0)
    }

    /** Guards against more work at a replica than it bears, whatever the entry instances know of each other. */
    @Test
    fun `all work together never exceeds the capacity`() {
        val worlds = worlds { world, self -> LedgerAndClient(world, self) }
        assertEquals(0, violations(worlds))
        assertTrue(worlds.all { it.dispatched > MINIMUM_DISPATCHED })
    }

    private companion object {
        const val SEEDS = 10L
        const val DURATION_MILLIS = 300_000L
        const val MINIMUM_DISPATCHED = 500
    }
}
