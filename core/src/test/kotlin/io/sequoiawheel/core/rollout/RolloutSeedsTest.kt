package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.rollout.VersionConduct.Conduct
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * The bounds of a rollout over 200 seeds for each kind of bad version, with streams that move and with 1 to 95
 * instances of which about one a second starts or ends. Seeds choose the rate of requests, and how bad the version is:
 * failures in a quarter to nine tenths of its responses, or several times slower responses in half of them or more.
 */
class RolloutSeedsTest {
    private class Bad(
        val seed: Long,
        val result: RolloutResult,
    ) {
        val bound = RolloutSimulation.BOUNDS.canaryShare * result.received + RolloutSimulation.BOUNDS.canaryMargin
        val exposure = result.sentToNew / bound
        val rollbackMillis = result.fiftiethBadMillis?.let { (result.lastSendMillis - it).coerceAtLeast(0) }
        val isReverted = result.verdict == RolloutStage.REVERTED && result.verdictMillis <= DURATION
    }

    private fun random(seed: Long) = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * SEED_FACTOR)

    private fun UniformRandomProvider.between(
        low: Double,
        high: Double,
    ) = low + nextDouble() * (high - low)

    private fun load(random: UniformRandomProvider) =
        RolloutLoad(
            instances = 1 + random.nextInt(MAXIMUM_INSTANCES),
            requestsPerSecond = random.between(LOWEST_RATE, HIGHEST_RATE),
            doInstancesChange = true,
            hasStreams = true,
            newReplicas = FEWEST_REPLICAS + random.nextInt(MORE_REPLICAS),
        )

    private fun badConduct(random: UniformRandomProvider) =
        if (random.nextBoolean()) {
            Conduct(failureShare = random.between(0.25, 0.9))
        } else {
            Conduct(slowShare = random.between(0.5, 1.0), slowness = random.between(4.0, 6.0))
        }

    /** Runs rollouts of versions that are bad where [isBad], chosen by seed, says so. */
    private fun bad(isBad: (UniformRandomProvider) -> (Sending) -> Boolean): List<Bad> {
        val runs =
            SEEDS.map { seed ->
                val random = random(seed)
                val load = load(random)
                val conduct = badConduct(random)
                val condition = isBad(random)
                val version = VersionConduct { if (condition(it)) conduct else VersionConduct.GOOD.at(it) }
                Bad(seed, RolloutSimulation(load.copy(new = version), seed).run())
            }
        println(
            listOf(
                "exposure in 100 of the bound" to distribution(runs.map { it.exposure * PERCENT }),
                "ms from the 50th bad answer" to distribution(runs.mapNotNull { it.rollbackMillis?.toDouble() }),
                "reverted in time" to "${runs.count { it.isReverted }} of ${runs.size}",
            ),
        )
        return runs
    }

    private fun distribution(values: List<Double>): String {
        val sorted = values.sorted()
        if (sorted.isEmpty()) return "none"
        val parts = listOf(0.5, 0.9, 0.99, 1.0).map { sorted[((sorted.size - 1) * it).toInt()].toInt() }
        return "median, 90th, 99th, largest ${parts.joinToString()} of ${sorted.size}"
    }

    private fun assertBounds(runs: List<Bad>) {
        val exposed = runs.filter { it.exposure > 1 }
        assertTrue(exposed.isEmpty()) {
            "${exposed.size} of ${runs.size} above the bound: " +
                exposed.joinToString { "seed ${it.seed}: ${it.result.sentToNew} of ${it.bound.toInt()}" }
        }
        val late = runs.filter { (it.rollbackMillis ?: 0) > RolloutSimulation.BOUNDS.rollbackMillis }
        assertTrue(late.isEmpty()) { "sent too late: ${late.joinToString { "seed ${it.seed}: ${it.rollbackMillis}" }}" }
    }

    private fun assertReverted(runs: List<Bad>) {
        val missed = runs.filter { !it.isReverted }
        assertTrue(missed.isEmpty()) {
            "${missed.size} of ${runs.size} not reverted: " +
                missed.take(SHOWN).joinToString { "seed ${it.seed}: ${it.result}" }
        }
    }

    // Callers met a version that was bad from its first answer more often than the bound allows.
    @Test
    fun `a version that is bad at once stays within the bounds`() {
        val runs = bad { { true } }
        assertBounds(runs)
        assertReverted(runs)
    }

    // A version passed on its first answers and was sent more than the bound before its failures counted.
    @Test
    fun `a version that turns bad after some seconds stays within the bounds`() {
        val runs =
            bad { random ->
                val sinceMillis = random.between(EARLIEST_BAD_MILLIS, LATEST_BAD_MILLIS)
                ({ it.millis >= sinceMillis })
            }
        assertBounds(runs)
        assertReverted(runs)
    }

    // A version that is bad on a third of its requests was hidden by the answers of the other route.
    @Test
    fun `a version that is bad on one route stays within the bounds`() {
        val runs = bad { { it.route == "long" } }
        assertBounds(runs)
        assertReverted(runs)
    }

    // A version that cannot take the load shows it only during the shift, when much of the bound is used up.
    @Test
    fun `a version that is bad under load stays within the bounds`() {
        val runs =
            bad { random ->
                val load = random.between(LOWEST_LOAD, HIGHEST_LOAD)
                ({ it.replicaLoad >= load })
            }
        assertBounds(runs)
        assertReverted(runs)
    }

    // The shift sent all requests to the new version within a second, and the runs besides.
    @Test
    fun `a version that is bad from the start of the shift stays within the bounds`() {
        val runs = bad { { it.shiftedMillis != null } }
        assertBounds(runs)
        assertReverted(runs)
    }

    private fun assertCompleted(slowOldShare: Double) {
        val runs =
            SEEDS.map { seed -> RolloutSimulation(load(random(seed)).copy(slowOldShare = slowOldShare), seed).run() }
        val complete = runs.count { it.verdict == RolloutStage.COMPLETE && it.verdictMillis <= DURATION }
        println(
            listOf(
                "complete in time" to "$complete of ${runs.size}",
                "ms to the verdict" to distribution(runs.map { it.verdictMillis.toDouble() }),
                "runs moved" to distribution(runs.map { it.movedRuns.toDouble() }),
                "requests left on the old version" to distribution(runs.map { it.brokenRuns.toDouble() }),
            ),
        )
        assertTrue(complete * PERCENT >= runs.size * REQUIRED_PERCENT) { "$complete of ${runs.size} complete" }
    }

    // A good version that is reverted costs the operator the release.
    @Test
    fun `good versions are complete in 99 of 100 runs`() = assertCompleted(0.0)

    // A comparison with old replicas of which some are slow made the verdict depend on which ones answered.
    @Test
    fun `good versions are complete while a third of the old replicas is slow`() = assertCompleted(1.0 / 3)

    private companion object {
        val SEEDS = 1L..200L
        const val SEED_FACTOR = 7_919L
        const val DURATION = RolloutSimulation.DURATION_MILLIS
        const val MAXIMUM_INSTANCES = 95
        const val LOWEST_RATE = 20.0
        const val HIGHEST_RATE = 100.0
        const val EARLIEST_BAD_MILLIS = 1_000.0
        const val LATEST_BAD_MILLIS = 7_000.0

        const val FEWEST_REPLICAS = 4
        const val MORE_REPLICAS = 27

        /** Loads of a replica at which a version breaks, where 1 is the load after the rollout. */
        const val LOWEST_LOAD = 0.25
        const val HIGHEST_LOAD = 0.8
        const val PERCENT = 100
        const val REQUIRED_PERCENT = 99
        const val SHOWN = 3
    }
}
