package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.model.WorkspaceName
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Ten workspaces at one of 95 instances, which receives a request of one of them about every 2 s. */
class WorkspaceUsageTest {
    private var nowMillis = 0L
    private val usage = WorkspaceUsage { nowMillis }
    private val workspaces = List(10) { WorkspaceName("workspace-$it") }

    /** Sends for [seconds], the first workspace at [factor] times its share. Returns how often each was in excess. */
    private fun send(
        random: UniformRandomProvider,
        seconds: Int,
        factor: Double,
        allFactor: Double = 1.0,
    ): Map<WorkspaceName, Pair<Int, Int>> {
        val counts = workspaces.associateWith { 0 to 0 }.toMutableMap()
        repeat(seconds * 10) {
            nowMillis += 100
            for ((index, workspace) in workspaces.withIndex()) {
                val perStep = 0.005 * allFactor * if (index == 0) factor else 1.0
                if (random.nextDouble() >= perStep) continue
                usage.record(workspace, 3_000)
                val (requests, excess) = counts.getValue(workspace)
                counts[workspace] = requests + 1 to excess + if (usage.isInExcess(workspace)) 1 else 0
            }
        }
        return counts
    }

    private fun seeded(seed: Long) = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    // A workspace at ten times its share displaced the others.
    @Test
    fun `a workspace at ten times its share is found by one instance and the others are not`() {
        val random = seeded(11)
        send(random, seconds = 300, factor = 1.0)
        send(random, seconds = 20, factor = 10.0)
        val counts = send(random, seconds = 60, factor = 10.0)
        val (requests, excess) = counts.getValue(workspaces.first())
        assertTrue(excess >= requests * 0.7, "$excess of $requests")
        val others = counts.filterKeys { it != workspaces.first() }.values
        assertTrue(others.sumOf { it.second } <= others.sumOf { it.first } * 0.1, others.toString())
    }

    // A burst of all callers is nobody's excess.
    @Test
    fun `a burst of all workspaces of 2,3 times for 7 s is no excess`() {
        val random = seeded(12)
        send(random, seconds = 300, factor = 1.0)
        val counts = send(random, seconds = 7, factor = 1.0, allFactor = 2.3).values
        assertTrue(counts.sumOf { it.second } <= counts.sumOf { it.first } * 0.2, counts.toString())
    }

    // A workspace that is alone takes nothing from others.
    @Test
    fun `a workspace that sends alone is not in excess`() {
        repeat(60) {
            nowMillis += 1_000
            usage.record(workspaces.first(), 3_000)
        }
        assertFalse(usage.isInExcess(workspaces.first()))
    }
}
