package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Loads are those of plain calls on replicas with six slots, and of long prompts on engines. */
class ReplicaPlacementTest {
    private var nowMillis = 0L
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L)
    private val placement = ReplicaPlacement(ReplicaSelection(ZoneName("a"), random), random) { _, _ -> true }
    private val engine = EngineProfile(24, 34_000, 163_840, 4, movesRuns = true, backsUpRuns = true)
    private val letter = GenerationDemand(promptTokens = 3_000, outputTokens = 940)
    private val service = RelayService(ServiceName("desk"), "/healthz", 100, 0.0, 0.0, engine)

    private fun replica(id: String) =
        Replica(
            ReplicaEntry(InstanceId(id), service.name, "127.0.0.1", 1, ZoneName("a"), SLOTS, false, 0, 1),
        ) { nowMillis }

    private fun call(
        usable: List<Replica>,
        tried: Set<Replica> = emptySet(),
    ) = placement.forCall(usable, tried, mayReturn = true, service)

    @Test
    fun `calls avoid a replica that asked for quiet until its time is over`() {
        val replicas = listOf(replica("one"), replica("two"))
        replicas.first().quietFor(1_500)
        repeat(8) { assertEquals(replicas.last(), (call(replicas) as Placement.At).replica) }
        nowMillis = 1_500
        replicas.last().load.begin(0)
        assertEquals(replicas.first(), (call(replicas) as Placement.At).replica)
    }

    @Test
    fun `a burst onto replicas that all ask for quiet is refused until the first of them may be asked`() {
        val replicas = listOf(replica("one").also { it.quietFor(4_000) }, replica("two").also { it.quietFor(1_000) })
        val waits = List(100) { (call(replicas) as Placement.Later).afterMillis }
        assertTrue(waits.all { it in 1_000..1_500 }, waits.toString())
        assertTrue(waits.toSet().size > 50, "callers come back spread over time")
    }

    @Test
    fun `what a quiet replica does not get is refused where the others are full`() {
        val quiet = replica("quiet").also { it.quietFor(2_000) }
        val full = replica("full")
        repeat(2 * SLOTS) { full.load.begin(0) }
        assertTrue(call(listOf(quiet, full)) is Placement.Later)
        full.load.end(0)
        assertEquals(full, (call(listOf(quiet, full)) as Placement.At).replica)
    }

    @Test
    fun `long prompts do not follow a quiet engine's onto one without memory`() {
        val quiet = replica("quiet").also { it.quietFor(2_000) }
        val full = replica("full").also { it.load.begin(32_000) }
        val engines = listOf(quiet, full)
        assertTrue(placement.forGeneration(engines, emptySet(), letter, engine, service) is Placement.Later)
        full.load.end(32_000)
        val placed = placement.forGeneration(engines, emptySet(), letter, engine, service)
        assertEquals(full, (placed as Placement.At).replica)
    }

    @Test
    fun `without a quiet replica a full one still takes what it can queue`() {
        val full = replica("full").also { it.load.begin(32_000) }
        val placed = placement.forGeneration(listOf(full), emptySet(), letter, engine, service)
        assertEquals(full, (placed as Placement.At).replica)
    }

    @Test
    fun `an earlier request for longer quiet holds`() {
        val replica = replica("one")
        replica.quietFor(5_000)
        replica.quietFor(500)
        nowMillis = 4_999
        assertTrue(replica.isQuiet)
    }

    /** Calls and refusals in random order; returns the most requests that reached a replica in its quiet time. */
    private fun mostInQuietTime(
        seed: Long,
        choose: (List<Replica>) -> Replica?,
    ): Int {
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        nowMillis = 0
        val replicas = listOf(replica("one"), replica("two"), replica("three"))
        val quietFrom = HashMap<Replica, Long>()
        val quietUntil = HashMap<Replica, Long>()
        val received = HashMap<Replica, Int>()
        repeat(STEPS) {
            nowMillis += random.nextInt(60)
            val chosen = choose(replicas) ?: return@repeat
            if (nowMillis in quietFrom.getOrDefault(chosen, 0L) + 500..<quietUntil.getOrDefault(chosen, 0L)) {
                received.merge(chosen, 1, Int::plus)
            }
            if (random.nextInt(5) == 0) {
                val millis = 500L + random.nextInt(3_000)
                chosen.quietFor(millis)
                quietFrom[chosen] = nowMillis
                quietUntil[chosen] = nowMillis + millis
            }
        }
        return received.values.maxOrNull() ?: 0
    }

    @Test
    fun `no order of calls and refusals sends a request into a quiet time`() {
        for (seed in 1L..SEEDS) {
            assertEquals(0, mostInQuietTime(seed) { (call(it) as? Placement.At)?.replica })
        }
    }

    @Test
    fun `the random orders find a choice that ignores quiet times`() {
        val selection = ReplicaSelection(ZoneName("a"), random)
        val found = (1L..SEEDS).count { seed -> mostInQuietTime(seed) { selection.forCall(it) } > 2 }
        assertTrue(found > SEEDS / 2, "$found of $SEEDS orders")
    }

    private companion object {
        const val SLOTS = 6
        const val STEPS = 300
        const val SEEDS = 100L
    }
}
