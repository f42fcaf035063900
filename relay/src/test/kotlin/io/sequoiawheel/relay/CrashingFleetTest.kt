package io.sequoiawheel.relay

import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.standin.platform.PartCrashMeter
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random

/** Prompt parts that end replicas, in fleets of up to 340 instances under faults, in virtual time. */
class CrashingFleetTest {
    private fun fleet(
        seed: Long,
        instances: Int = 7,
        parts: Int = 1,
        zones: Int = 3,
        replicas: Int = 12,
        requestsPerSecond: Double = USUAL_PER_SECOND,
        lossShare: Double = 0.05,
    ) = CrashingFleet(instances, zones, replicas, requestsPerSecond, lossShare, seed).apply {
        run(QUIET_MILLIS)
        crashingParts = (1..parts).map { "dead%02x".format(it) }
    }

    private fun CrashingFleet.assertContained(seed: Long) {
        for (part in crashingParts) {
            val late = meter.lateSends(part)
            assertTrue(late <= PartCrashMeter.ALLOWED_LATE_SENDS, "seed $seed: $late late sends of $part")
        }
    }

    /** Sound requests that began at the first attempt, of those sent later than twice the contact time. */
    private fun CrashingFleet.firstAttempts() =
        meter.firstAttempts(nowMillis - SETTLED_MILLIS..nowMillis - LONGEST_MILLIS)

    /**
     * Runs a fleet of each seed with [parts] and checks that they are contained. The share of sound requests that begin
     * at the first attempt must be that of the same fleets without crashing parts, less what probes cost.
     */
    private fun assertContainedAndServed(
        parts: Int,
        prepare: CrashingFleet.(Long) -> Unit = {},
    ) {
        var without = PartCrashMeter.Share(0, 0)
        var with = PartCrashMeter.Share(0, 0)
        for (seed in 1L..SEEDS) {
            val plain = fleet(seed, parts = 0).apply { prepare(seed) }
            plain.run(RUN_MILLIS)
            assertNoVerdict(plain, seed)
            without += plain.firstAttempts()
            val fleet = fleet(seed, parts).apply { prepare(seed) }
            fleet.run(RUN_MILLIS)
            fleet.assertContained(seed)
            with += fleet.firstAttempts()
        }
        assertTrue(with.value >= without.value * KEPT_SHARE, "$with of the sound requests, $without without parts")
    }

    private fun assertNoVerdict(
        fleet: CrashingFleet,
        seed: Long,
        except: Set<PromptPart> = emptySet(),
    ) = assertEquals(emptySet<PromptPart>(), fleet.quarantined() - except, "seed $seed")

    private fun CrashingFleet.quarantined() = all.flatMapTo(HashSet()) { it.quarantine.quarantined }

    // Each instance sees only its own requests, and one in seven crashes.
    @Test
    fun `one part is contained, and sound requests are served`() = assertContainedAndServed(parts = 1)

    @Test
    fun `several parts at once are contained, and sound requests are served`() = assertContainedAndServed(parts = 4)

    @Test
    fun `replicas that end for other reasons neither hide a part nor lead to verdicts on sound ones`() =
        assertContainedAndServed(parts = 2) { otherEndMillis = OTHER_END_MILLIS }

    // A sound part that most requests share is in every crash; one that is not sound leaves hardly any traffic.
    @Test
    fun `a part that most requests share is refused if it crashes replicas, and only then`() =
        assertContainedAndServed(parts = 1) { seed ->
            crashingPerSecond = MOST_TRAFFIC
            crashingPartIsFirst = seed % 2 == 0L
        }

    @Test
    fun `instances that start anew, lost messages and cut zones lead to no further sends`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed, parts = 2, lossShare = 0.2)
            fleet.runFaults(seed)
            fleet.assertContained(seed)
        }
    }

    @Test
    fun `a fleet that reports through aggregators contains parts under faults`() {
        for (seed in 1L..LARGE_SEEDS) {
            val fleet =
                fleet(seed, instances = 95, parts = 2, replicas = 40, requestsPerSecond = 60.0).apply {
                    crashingPerSecond = 12.0
                }
            fleet.runFaults(seed)
            fleet.assertContained(seed)
        }
    }

    @Test
    fun `the largest fleet contains parts`() {
        val fleet =
            fleet(seed = 1, instances = 340, parts = 2, zones = 5, replicas = 120, requestsPerSecond = 150.0).apply {
                crashingPerSecond = 20.0
            }
        fleet.run(RUN_MILLIS)
        fleet.assertContained(1)
        assertTrue(fleet.firstAttempts().value >= LARGEST_SHARE, "${fleet.firstAttempts()}")
    }

    // Ends of many replicas at one moment, as of a zone, look like crashes of all parts that were in use.
    @Test
    fun `replicas that end together lead to no verdict`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed, parts = 0)
            repeat(3) {
                fleet.endReplicas(count = 5)
                fleet.run(5_000)
            }
            assertNoVerdict(fleet, seed)
        }
    }

    // No run with a quarantined part is sent that could show that it is sound.
    @Test
    fun `a wrong verdict ends soon, also if the instance that decided it gets no such request`() {
        for (seed in 1L..SEEDS) {
            val fleet = fleet(seed, parts = 0)
            val rare = PromptPart("c1")
            fleet.requestsPerSecond = 0.0
            fleet.run(LONGEST_MILLIS)
            repeat(3) {
                fleet.request(rare.id, number = 0)
                fleet.run(ACCUSING_MILLIS)
                fleet.endReplicas(ALL_REPLICAS)
                fleet.run(RETURN_MILLIS)
            }
            assertEquals(setOf(rare), fleet.quarantined(), "seed $seed")
            fleet.requestsPerSecond = USUAL_PER_SECOND
            repeat(WRONG_VERDICT_SECONDS) {
                fleet.request(rare.id, number = 1 + it % 6)
                fleet.run(1_000)
            }
            assertNoVerdict(fleet, seed)
        }
    }

    // Callers may send any number of parts, which all instances would remember and tell each other.
    @Test
    fun `a flood of parts that are never repeated leads to no verdicts and bounded messages`() {
        val fleet = fleet(seed = 3, parts = 1, requestsPerSecond = 200.0)
        fleet.soundParts = 1_000_000
        fleet.otherEndMillis = 500
        fleet.run(RUN_MILLIS)
        assertNoVerdict(fleet, seed = 3, except = setOf(PromptPart("dead01")))
        assertTrue(fleet.largestMessageBytes <= MAXIMUM_MESSAGE_BYTES, "${fleet.largestMessageBytes} bytes")
    }

    // The stand-ins must show the fault, or the other tests would prove nothing.
    @Test
    fun `parts whose verdicts are not shared break the bound`() {
        val found =
            (1L..SEEDS).count { seed ->
                val fleet = fleet(seed, lossShare = 1.0)
                fleet.run(RUN_MILLIS)
                fleet.meter.lateSends("dead01") > PartCrashMeter.ALLOWED_LATE_SENDS
            }
        assertEquals(SEEDS, found.toLong())
    }

    /** Restarts instances and cuts zones off while requests with the parts go on. */
    private fun CrashingFleet.runFaults(seed: Long) {
        val random = Random(seed)
        repeat(FAULT_ROUNDS) {
            when (random.nextInt(3)) {
                0 -> all[random.nextInt(all.size)].restart()
                1 -> {
                    val zone = all[random.nextInt(all.size)].zone
                    isCut = { from, to -> (from.zone == zone) != (to.zone == zone) }
                    val cutMillis = 1_000L + random.nextInt(9_000)
                    all.filter { it.zone == zone }.forEach { meter.excuse(it.name, nowMillis + cutMillis) }
                    run(cutMillis)
                    isCut = { _, _ -> false }
                }
                else -> endReplicas(2)
            }
            run(500L + random.nextInt(2_500))
        }
    }

    private companion object {
        const val SEEDS = 25L
        const val LARGE_SEEDS = 3L
        const val USUAL_PER_SECOND = 12.0
        const val QUIET_MILLIS = 5_000L
        const val RUN_MILLIS = 40_000L

        /** The part of a run that begins later than twice the contact time after the fifth crash. */
        const val SETTLED_MILLIS = 25_000L

        /** Longer than any generation takes. */
        const val LONGEST_MILLIS = 9_000L

        /** What the probes of verdicts cost sound requests at most. */
        const val KEPT_SHARE = 0.95
        const val LARGEST_SHARE = 0.95
        const val OTHER_END_MILLIS = 1_500L

        /** Requests with the crashing part per second, several times the sound ones. */
        const val MOST_TRAFFIC = 40.0

        /** Less than the shortest time until a response begins, so that only the part is accused. */
        const val ACCUSING_MILLIS = 140L
        const val ALL_REPLICAS = 12

        /** Longer than a replica is away. */
        const val RETURN_MILLIS = 4_500L

        /** Time until the first probe, and twice that until another instance takes it over. */
        const val WRONG_VERDICT_SECONDS = 25
        const val FAULT_ROUNDS = 12
        const val MAXIMUM_MESSAGE_BYTES = 16_384
    }
}
