package io.sequoiawheel.core.rollout

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Rollouts of 12 s on a service with 47 requests a second, as one zone pattern of the platform has it, over 1 to 95
 * instances.
 */
class RolloutSimulationTest {
    private fun results(
        seeds: IntRange,
        load: (Int) -> RolloutLoad,
    ) = seeds.map { seed -> RolloutSimulation(load(seed), seed.toLong()).run() }

    private fun instances(seed: Int) = 1 + seed * 31 % 95

    private fun assertBounds(results: List<RolloutResult>) {
        for (result in results) {
            val bound = RolloutSimulation.BOUNDS.canaryShare * result.received + RolloutSimulation.BOUNDS.canaryMargin
            assertTrue(result.sentToNew <= bound, "exposure above $bound: $result")
            val lastAllowed = result.fiftiethBadMillis?.let { it + RolloutSimulation.BOUNDS.rollbackMillis }
            if (lastAllowed != null) assertTrue(result.lastSendMillis <= lastAllowed, "sent too late: $result")
        }
    }

    private fun assertReverted(
        results: List<RolloutResult>,
        required: Int = results.size,
    ) {
        assertBounds(results)
        val reverted = results.count { it.verdict == RolloutStage.REVERTED && it.verdictMillis <= DURATION }
        assertTrue(reverted >= required, "only $reverted of ${results.size} reverted: ${results.missed()}")
    }

    private fun List<RolloutResult>.missed() = filter { it.verdict != RolloutStage.REVERTED }.take(SHOWN)

    private fun assertCompleted(results: List<RolloutResult>) {
        val complete = results.count { it.verdict == RolloutStage.COMPLETE && it.verdictMillis <= DURATION }
        assertTrue(complete * 100 >= results.size * 99, "only $complete of ${results.size} complete")
    }

    // A bad version that received more than its budget harmed callers whom the bound protects.
    @Test
    fun `a version that fails every second request stays within its budget while instances join and leave`() {
        val bad = VersionConduct { VersionConduct.Conduct(failureShare = 0.5) }
        assertReverted(results(1..200) { RolloutLoad(instances(it), new = bad, doInstancesChange = true) })
    }

    // A version that is only slow returns no errors, so nothing but the comparison with the old one shows it.
    @Test
    fun `a version that is several times slower is reverted`() {
        val slow = VersionConduct { VersionConduct.Conduct(slowShare = 0.6, slowness = 5.0) }
        assertReverted(results(1..100) { RolloutLoad(instances(it), new = slow, doInstancesChange = true) })
    }

    // A version whose first seconds were good was taken for good.
    @Test
    fun `a version that turns bad after four seconds is reverted`() {
        val late =
            VersionConduct { (_, millis) ->
                VersionConduct.Conduct(
                    failureShare =
                        if (millis >
                            LATE_MILLIS
                        ) {
                            0.6
                        } else {
                            0.0
                        },
                )
            }
        assertReverted(results(1..100) { RolloutLoad(instances(it), new = late) })
    }

    // The failures of one route disappeared among the good responses of the others.
    @Test
    fun `a version that is bad on one route is reverted`() {
        val partial =
            VersionConduct { (route) -> VersionConduct.Conduct(failureShare = if (route == "long") 0.6 else 0.0) }
        assertReverted(results(1..100) { RolloutLoad(instances(it), new = partial) })
    }

    // Versions that break under load showed it only once all requests went to them.
    @Test
    fun `a version that turns bad while requests shift to it is reverted`() {
        val underLoad =
            VersionConduct { (_, millis) ->
                VersionConduct.Conduct(
                    failureShare =
                        if (millis >
                            SHIFTED_MILLIS
                        ) {
                            0.6
                        } else {
                            0.0
                        },
                )
            }
        val results = results(1..100) { RolloutLoad(instances(it), new = underLoad) }
        val reverted = results.count { it.verdict == RolloutStage.REVERTED }
        assertEquals(results.size, reverted, "${results.missed()}")
    }

    // A good version that is reverted costs the operator the release.
    @Test
    fun `good versions are completed in time`() {
        assertCompleted(results(1..200) { RolloutLoad(instances(it), doInstancesChange = true) })
    }

    // A good version was blamed for slow replicas of the old one.
    @Test
    fun `a good version is completed while a third of the old replicas is slow`() {
        assertCompleted(results(1..200) { RolloutLoad(instances(it), slowOldShare = 1.0 / 3) })
    }

    // A slow minute of the whole service condemned the version that was being rolled out.
    @Test
    fun `a good version is completed while both versions are slow for two seconds`() {
        val pause =
            VersionConduct { (_, millis) ->
                val slowShare = if (millis in 3_000..5_000) 0.7 else 0.0
                VersionConduct.Conduct(failureShare = 0.003, slowShare = slowShare, slowness = 4.0)
            }
        assertCompleted(results(1..200) { RolloutLoad(instances(it), new = pause, old = pause) })
    }

    // Little traffic must not leave an order without a verdict.
    @Test
    fun `a good version of a service with one request a second is completed`() {
        assertCompleted(results(1..100) { RolloutLoad(instances(it).coerceAtMost(8), requestsPerSecond = 1.0) })
    }

    private companion object {
        const val DURATION = RolloutSimulation.DURATION_MILLIS
        const val LATE_MILLIS = 4_000L
        const val SHIFTED_MILLIS = 7_500L
        const val SHOWN = 3
    }
}
