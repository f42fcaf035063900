package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReplicaDirectoryTest {
    private var nowMillis = 0L
    private val outageEndMillis = 0L
    private val directory =
        ReplicaDirectory({ nowMillis }, graceMillis = 2_300, sinceOutageMillis = { nowMillis - outageEndMillis })
    private val service = ServiceName("writers")

    private fun entry(
        id: String,
        draining: Boolean = false,
        startedAtMillis: Long = 1,
    ) = ReplicaEntry(
        InstanceId(id),
        service,
        "127.0.0.1",
        1,
        ZoneName("zone-$id"),
        slots = 1,
        draining,
        0,
        startedAtMillis,
    )

    private fun usable() = directory.usable(service).map { it.entry.id.value }

    // A replica that left soon after an outage was used for the whole grace period, beyond the bound on draining.
    @Test
    fun `an entry that vanishes after an outage is used until the replicas have had time to register again`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        nowMillis = 1_900
        directory.remove(InstanceId("a"), afterOutage = true)
        assertEquals(listOf("a", "b"), usable())
        nowMillis = 2_300
        assertEquals(listOf("b"), usable())
    }

    @Test
    fun `a draining or removed replica immediately stops receiving new work`() {
        directory.replaceAll(listOf(entry("a"), entry("b"), entry("c")), ListReliability.CERTAIN)
        val removed = directory.usable(service).last()
        directory.put(entry("b", draining = true))
        directory.remove(InstanceId("c"), afterOutage = false)
        assertEquals(listOf("a"), usable())
        assertTrue(removed.isLeaving)
    }

    @Test
    fun `an entry that expired during a store outage stays for the grace period only`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        directory.replaceAll(listOf(entry("a")), ListReliability.AFTER_OUTAGE)
        assertEquals(listOf("a", "b"), usable())
        nowMillis = 2_300
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `an entry that returns within the grace period stays`() {
        directory.replaceAll(listOf(entry("a")), ListReliability.CERTAIN)
        directory.remove(InstanceId("a"), afterOutage = true)
        nowMillis = 1_500
        directory.put(entry("a"))
        nowMillis = 5_000
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a replica that restarts with the same id is a new replica`() {
        directory.put(entry("a"))
        val before = directory.usable(service).single()
        directory.put(entry("a", startedAtMillis = 2))
        assertTrue(before.isLeaving)
        assertFalse(directory.usable(service).single() === before)
    }

    @Test
    fun `an evacuated zone receives no work until it is returned to service`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        directory.evacuations.replaceAll(setOf(ZoneName("zone-a")), ListReliability.CERTAIN)
        assertEquals(listOf("b"), usable())
        directory.evacuations.replaceAll(emptySet(), ListReliability.CERTAIN)
        assertEquals(listOf("a", "b"), usable())
    }

    @Test
    fun `a replica that announced a leave stays unused until it restarts, even if listed as ready`() {
        directory.put(entry("a"))
        val replica = directory.usable(service).single()
        replica.leave(LeaveReason.ANNOUNCED)
        directory.put(entry("a"))
        assertEquals(emptyList<String>(), usable())
        directory.remove(InstanceId("a"), afterOutage = false)
        directory.put(entry("a"))
        assertEquals(emptyList<String>(), usable())
        directory.put(entry("a", startedAtMillis = 2))
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a leave reported by a peer applies only to the incarnation that announced it`() {
        directory.put(entry("a", startedAtMillis = 2))
        directory.markReportedLeaving(mapOf("a" to 1L, "unknown" to 1L))
        assertEquals(listOf("a"), usable())
        directory.markReportedLeaving(mapOf("a" to 2L))
        assertEquals(emptyList<String>(), usable())
        assertEquals(
            emptyMap<String, Long>(),
            directory.announcedLeaving(),
            "leaves reported by peers must not be forwarded",
        )
    }

    @Test
    fun `a replica removed before a restore of the store is used only if it stays listed`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        directory.remove(InstanceId("b"), afterOutage = false)
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.NEW_ERA)
        assertEquals(listOf("a"), usable())
        nowMillis = 4_999
        assertEquals(listOf("a"), usable())
        nowMillis = 5_000
        assertEquals(listOf("a", "b"), usable())
    }

    @Test
    fun `a stale entry of the snapshot that expires again brings no replica back`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        directory.remove(InstanceId("b"), afterOutage = false)
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.NEW_ERA)
        nowMillis = 3_600
        directory.remove(InstanceId("b"), afterOutage = false)
        nowMillis = 6_000
        assertEquals(listOf("a"), usable())
    }

    @Test
    fun `a drained replica stays unused after a snapshot lists it as ready`() {
        directory.put(entry("a", draining = true))
        directory.remove(InstanceId("a"), afterOutage = false)
        directory.replaceAll(listOf(entry("a")), ListReliability.NEW_ERA)
        nowMillis = 60_000
        assertEquals(emptyList<String>(), usable())
    }

    @Test
    fun `an earlier incarnation in the snapshot does not replace the running one`() {
        directory.put(entry("a", startedAtMillis = 7))
        directory.replaceAll(listOf(entry("a", startedAtMillis = 3)), ListReliability.NEW_ERA)
        val replica = directory.usable(service).single()
        assertEquals(7L, replica.entry.startedAtMillis)
    }

    @Test
    fun `a replica missing from the snapshot is kept until its entry returns or the grace period ends`() {
        directory.replaceAll(listOf(entry("a"), entry("b")), ListReliability.CERTAIN)
        directory.replaceAll(emptyList(), ListReliability.NEW_ERA)
        assertEquals(listOf("a", "b"), usable())
        nowMillis = 1_000
        directory.put(entry("a"))
        nowMillis = 2_300
        assertEquals(listOf("a"), usable())
    }

    /** Applies lists, removals and leaves in random order; returns how often a leaving incarnation was usable. */
    private fun usesAfterLeaving(
        seed: Long,
        directory: ReplicaDirectory,
        now: (Long) -> Unit,
        usableOf: (ReplicaDirectory) -> List<Replica>,
    ): Int {
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        val left = HashSet<Pair<InstanceId, Long?>>()
        var uses = 0
        var millis = 0L
        repeat(STEPS) {
            millis += random.nextInt(1_500)
            now(millis)
            val entries = listOf("a", "b", "c").map { entry(it, startedAtMillis = 1L + random.nextInt(3)) }
            when (random.nextInt(5)) {
                0 -> directory.replaceAll(entries, ListReliability.NEW_ERA)
                1 -> directory.replaceAll(entries.take(2), ListReliability.AFTER_OUTAGE)
                2 -> directory.put(entries.first())
                3 -> directory.remove(entries.last().id, afterOutage = false)
                else ->
                    usableOf(directory).randomOrNull(kotlin.random.Random(seed))?.let {
                        it.leave(LeaveReason.ANNOUNCED)
                        left += it.entry.id to it.entry.startedAtMillis
                    }
            }
            uses += usableOf(directory).count { (it.entry.id to it.entry.startedAtMillis) in left }
        }
        return uses
    }

    @Test
    fun `no order of lists and leaves makes a leaving incarnation usable`() {
        for (seed in 1L..SEEDS) {
            var millis = 0L
            val uses = usesAfterLeaving(seed, ReplicaDirectory({ millis }), { millis = it }) { it.usable(service) }
            assertEquals(0, uses, "seed $seed")
        }
    }

    @Test
    fun `the random orders detect a directory that ignores leaves`() {
        val found =
            (1L..SEEDS).count { seed ->
                var millis = 0L
                val directory = ReplicaDirectory({ millis })
                usesAfterLeaving(seed, directory, { millis = it }) { it.all() } > 0
            }
        assertTrue(found > SEEDS / 2, "$found of $SEEDS orders")
    }

    private companion object {
        const val STEPS = 80
        const val SEEDS = 100L
    }
}
