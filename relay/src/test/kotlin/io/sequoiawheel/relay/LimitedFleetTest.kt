package io.sequoiawheel.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Request limits that replicas name, in fleets of up to 340 instances under faults, in virtual time. */
class LimitedFleetTest {
    private fun fleet(
        instances: Int = 7,
        seed: Long = 7L,
        callsPerSecond: Double = 60.0,
        isLimiting: Boolean = true,
        replicas: Int = 3,
    ) = LimitedFleet(
        instances,
        callsPerSecond = callsPerSecond,
        isLimiting = isLimiting,
        replicas = replicas,
        seed = seed,
        zones = if (instances > 100) 5 else 3,
    ).apply { run(SETTLE_MILLIS) }

    private fun LimitedFleet.assertWithinLimits() =
        replicas.forEach { replica -> assertNull(replica.meter.worstExcess(), replica.id) }

    /**
     * Random faults of all kinds with limits that appear, rise, fall, end or become unreadable. In [sizes] instances
     * join and leave.
     */
    private fun LimitedFleet.runFaults(
        seed: Long,
        sizes: IntRange = MINIMUM_INSTANCES..MAXIMUM_INSTANCES,
    ) {
        val random = java.util.Random(seed)
        replicas.first().limit = "2.5"
        repeat(FAULT_ROUNDS) {
            val instance = all[random.nextInt(all.size)]
            when (random.nextInt(9)) {
                0 -> instance.freeze(500L + random.nextInt(5_000))
                1 -> instance.restart()
                2 -> if (all.size < sizes.last) add()
                3 -> {
                    val cut = instance
                    isCut = { from, to -> from === cut || to === cut }
                }
                4 -> isCut = { _, _ -> false }
                5 -> replicas[random.nextInt(2)].limit = LIMITS[random.nextInt(LIMITS.size)]
                6 -> maximumDelayMillis = if (random.nextBoolean()) 20 else 3_000
                7 -> if (all.size > sizes.first) instance.leave()
                else -> Unit
            }
            run(500L + random.nextInt(2_500))
        }
    }

    @Test
    fun `instances together stay within the limits of two of three replicas`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed = seed)
            fleet.replicas[0].limit = "2.5"
            fleet.replicas[1].limit = "3.3"
            fleet.run(30_000)
            fleet.assertWithinLimits()
        }
    }

    // Each instance may keep to a limit that the instances exceed together.
    @Test
    fun `the simulation detects instances that ignore limits`() {
        val found =
            (1L..SEEDS).count { seed ->
                val fleet = fleet(seed = seed, isLimiting = false)
                fleet.replicas[0].limit = "2.5"
                fleet.run(12_000)
                fleet.replicas[0].meter.worstExcess() != null
            }
        assertEquals(SEEDS, found.toLong())
    }

    @Test
    fun `a limited replica still receives most of what it accepts`() {
        val fleet = fleet()
        fleet.replicas[0].limit = "5"
        fleet.run(4_000)
        val before = fleet.replicas[0].meter.count()
        fleet.run(20_000)
        val received = fleet.replicas[0].meter.count() - before
        assertTrue(received >= 5 * 20 / 2, "$received requests in 20 s at 5 a second")
    }

    @Test
    fun `joins, leaves, freezes, restarts, cuts and late reports do not exceed changing limits`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed = seed)
            fleet.runFaults(seed)
            fleet.assertWithinLimits()
        }
    }

    @Test
    fun `faults in a fleet in which some instances hold no share do not exceed changing limits`() {
        for (seed in 1L..LARGE_FLEET_SEEDS) {
            val fleet = fleet(LARGE_FLEET, seed, callsPerSecond = 200.0)
            fleet.runFaults(seed, sizes = LARGE_FLEET / 2..LARGE_FLEET * 2)
            fleet.assertWithinLimits()
        }
    }

    // Calls that a limited replica does not accept must not overload the next one, whatever the size of the fleet.
    @Test
    fun `a large fleet does not queue calls beyond the timeout at a replica without a limit`() {
        val fleet = LimitedFleet(LARGE_FLEET, replicas = 2, callsPerSecond = 500.0, skew = 1.0)
        fleet.run(SETTLE_MILLIS)
        fleet.replicas[0].limit = "2.5"
        fleet.run(10_000)
        fleet.replicas.forEach { it.longestMillis = 0 }
        fleet.run(10_000)
        assertTrue(fleet.deferred > 0)
        assertTrue(fleet.replicas.all { it.longestMillis <= TIMEOUT_MILLIS }, "${fleet.replicas[1].longestMillis} ms")
    }

    @Test
    fun `the random faults detect instances that ignore limits`() {
        val found =
            (1L..SEEDS).count { seed ->
                val fleet = fleet(seed = seed, isLimiting = false).apply { runFaults(seed) }
                fleet.replicas.any { it.meter.worstExcess() != null }
            }
        assertTrue(found > SEEDS / 2, "$found of $SEEDS")
    }

    // Idle instances whose share is below one request must not all save up one.
    @Test
    fun `340 instances stay within a limit after a time without calls`() {
        val fleet = LimitedFleet(340, zones = 5, replicas = 3, callsPerSecond = 200.0, skew = 1.0)
        fleet.run(SETTLE_MILLIS)
        fleet.replicas[0].limit = "2.5"
        fleet.run(10_000)
        fleet.callsPerSecond = 0.0
        fleet.run(20_000)
        fleet.callsPerSecond = 300.0
        fleet.run(10_000)
        fleet.assertWithinLimits()
        assertTrue(fleet.replicas[0].meter.count() > 0)
    }

    @Test
    fun `a fleet that doubles within a second stays within a limit`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed = seed)
            fleet.replicas[0].limit = "2.5"
            fleet.run(8_000)
            repeat(7) {
                fleet.add()
                fleet.run(100)
            }
            fleet.run(12_000)
            fleet.assertWithinLimits()
        }
    }

    // Instances that started while the fleet was small must learn of those that report to an aggregator only.
    @Test
    fun `a fleet that grows by one instance at a time knows its size and stays within a limit`() {
        val fleet = LimitedFleet(1, zones = 1, callsPerSecond = 150.0, skew = 1.0)
        repeat(GROWN_INSTANCES - 1) {
            fleet.add()
            fleet.run(100)
        }
        fleet.replicas[0].limit = "2.5"
        fleet.run(20_000)
        assertEquals(setOf(GROWN_INSTANCES), fleet.all.map { it.exchange.instanceCount }.toSet())
        fleet.assertWithinLimits()
    }

    @Test
    fun `instances learn of the end of a limit from one another`() {
        val fleet = fleet()
        fleet.replicas[0].limit = "0"
        fleet.run(10_000)
        assertTrue(fleet.all.all { fleet.limitKnownTo(it) != null })
        fleet.replicas[0].limit = null
        fleet.run(10_000)
        assertTrue(fleet.all.all { fleet.limitKnownTo(it) == null })
    }

    @Test
    fun `an unreadable limit leaves the last readable one in force`() {
        val fleet = fleet()
        fleet.replicas[0].limit = "2.5"
        fleet.run(5_000)
        fleet.replicas[0].limit = "many"
        fleet.run(10_000)
        assertTrue(fleet.all.all { fleet.limitKnownTo(it) == 2.5 })
        fleet.assertWithinLimits()
    }

    @Test
    fun `calls that a limited replica does not accept meet the objective at a replica with capacity for them`() {
        val fleet = LimitedFleet(7, replicas = 2, callsPerSecond = 80.0)
        fleet.run(SETTLE_MILLIS)
        fleet.replicas[0].limit = "2.5"
        fleet.run(2_000)
        fleet.deferred = 0
        fleet.served = 0
        fleet.replicas.forEach { it.longestMillis = 0 }
        fleet.run(20_000)
        assertTrue(fleet.deferred <= fleet.served / 100, "${fleet.deferred} deferred, ${fleet.served} served")
        assertTrue(fleet.replicas.all { it.longestMillis <= OBJECTIVE_MILLIS }, "${fleet.replicas[1].longestMillis} ms")
    }

    // Calls that a limited replica does not accept must not queue at the next one until their deadline.
    @Test
    fun `calls are deferred at once if the replica without a limit has no capacity for them`() {
        val fleet = LimitedFleet(7, replicas = 2, callsPerSecond = 500.0)
        fleet.run(SETTLE_MILLIS)
        fleet.replicas[0].limit = "2.5"
        fleet.run(10_000)
        fleet.replicas.forEach { it.longestMillis = 0 }
        fleet.run(10_000)
        assertTrue(fleet.deferred > 0)
        assertTrue(fleet.replicas.all { it.longestMillis <= TIMEOUT_MILLIS }, "${fleet.replicas[1].longestMillis} ms")
    }

    @Test
    fun `the limit of an earlier incarnation does not apply to the next`() {
        val fleet = fleet()
        fleet.replicas[0].limit = "2.5"
        fleet.run(5_000)
        fleet.callsPerSecond = 0.0
        fleet.all.forEach { it.directory.put(fleet.replicas[0].entry.copy(startedAtMillis = 2)) }
        fleet.run(5_000)
        assertTrue(fleet.all.all { fleet.limitKnownTo(it) == null })
    }

    private fun LimitedFleet.limitKnownTo(instance: LimitedFleet.Instance): Double? =
        instance.directory
            .all()
            .first { it.entry.id.value == replicas[0].id }
            .requestLimit.perSecond

    private companion object {
        const val SEEDS = 12L
        const val SETTLE_MILLIS = 3_000L
        const val FAULT_ROUNDS = 20
        const val GROWN_INSTANCES = 60
        const val MINIMUM_INSTANCES = 4
        const val MAXIMUM_INSTANCES = 12

        /** Far more instances than requests that the tolerance of a limit allows at once. */
        const val LARGE_FLEET = 95
        const val LARGE_FLEET_SEEDS = 4L

        const val OBJECTIVE_MILLIS = LimitedFleet.OBJECTIVE_MILLIS

        /** The timeout of the routes of plain calls. */
        const val TIMEOUT_MILLIS = 1_200L
        val LIMITS = listOf("0", "0.4", "2.5", "2.7", "8", "20", "many", null)
    }
}
