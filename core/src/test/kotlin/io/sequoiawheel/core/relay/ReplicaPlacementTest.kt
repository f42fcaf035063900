package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Placement of plain calls on replicas with six slots, and of generations with long prompts on engines. */
class ReplicaPlacementTest {
    private var nowMillis = 0L
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L)
    private val fleet = FixedFleet(instanceCount = 1)
    private val overflow = OverflowLimiter(fleet)
    private val placement =
        ReplicaPlacement(
            ReplicaSelection(ZoneName("a"), random),
            random,
            RequestLimiter(fleet),
            overflow,
            InFlightBound(fleet),
        ) { _, _ -> true }
    private val engine = EngineProfile(24, 34_000, 163_840, 4, supportsMigration = true, supportsBackup = true)
    private val longPrompt = GenerationDemand(promptTokens = 3_000, outputTokens = 940)
    private val service = RelayService(ServiceName("desk"), "/healthz", 100, 0.0, 0.0, engine)

    private fun replica(id: String) =
        Replica(
            ReplicaEntry(InstanceId(id), service.name, "127.0.0.1", 1, ZoneName("a"), SLOTS, false, 0, 1),
        ) { nowMillis }

    private fun call(
        usable: List<Replica>,
        tried: Set<Replica> = emptySet(),
    ) = placement.forCall(usable, tried, mayReuseTried = true, service)

    @Test
    fun `calls avoid a paused replica until its pause ends`() {
        val replicas = listOf(replica("one"), replica("two"))
        replicas.first().pauseFor(1_500)
        repeat(8) { assertEquals(replicas.last(), (call(replicas) as Placement.Assigned).replica) }
        nowMillis = 1_500
        replicas.last().load.begin(0)
        assertEquals(replicas.first(), (call(replicas) as Placement.Assigned).replica)
    }

    // Requests gathered in front of a replica that did not read, while others were idle.
    @Test
    fun `calls pass over a replica that does not read its requests`() {
        val replicas = listOf(replica("one"), replica("two"))
        replicas.first().unreadRequests.begin(1_000)
        nowMillis = UnreadRequests.STALL_MILLIS
        repeat(8) { assertEquals(replicas.last(), (call(replicas) as Placement.Assigned).replica) }
        val alone = replicas.take(1)
        assertEquals(alone.single(), (call(alone) as Placement.Assigned).replica, "a single replica may still read")
    }

    // Guards against unbounded memory, and against a refusal without a time to try again.
    @Test
    fun `calls are deferred while all replicas have too much left to read`() {
        val replicas = listOf(replica("one"))
        replicas.single().unreadRequests.begin(UnreadRequests.LIMIT_BYTES.toInt())
        val wait = (call(replicas) as Placement.Deferred).retryAfterMillis
        assertTrue(wait >= ReplicaPlacement.FULL_CALLS_MILLIS, wait.toString())
        assertTrue(checkNotNull(placement.retryAfterMillis(replicas)) >= ReplicaPlacement.FULL_CALLS_MILLIS)
        replicas.single().unreadRequests.end(1, isSent = true)
        assertEquals(replicas.single(), (call(replicas) as Placement.Assigned).replica)
    }

    @Test
    fun `a burst is deferred until the first pause ends if all replicas are paused`() {
        val replicas = listOf(replica("one").also { it.pauseFor(4_000) }, replica("two").also { it.pauseFor(1_000) })
        val waits = List(100) { (call(replicas) as Placement.Deferred).retryAfterMillis }
        assertTrue(waits.all { it in 1_000..1_500 }, waits.toString())
        assertTrue(waits.toSet().size > 50, "retries must be spread over time")
    }

    @Test
    fun `calls are deferred if one replica is paused and the others are full`() {
        val paused = replica("paused").also { it.pauseFor(2_000) }
        val full = replica("full")
        repeat(2 * SLOTS) { full.load.begin(0) }
        assertTrue(call(listOf(paused, full)) is Placement.Deferred)
        full.load.end(0)
        assertEquals(full, (call(listOf(paused, full)) as Placement.Assigned).replica)
    }

    @Test
    fun `long prompts do not move from a paused engine to one without memory`() {
        val paused = replica("paused").also { it.pauseFor(2_000) }
        val full = replica("full").also { it.load.begin(32_000) }
        val engines = listOf(paused, full)
        assertTrue(placement.forGeneration(engines, emptySet(), longPrompt, engine, service) is Placement.Deferred)
        full.load.end(32_000)
        val placed = placement.forGeneration(engines, emptySet(), longPrompt, engine, service)
        assertEquals(full, (placed as Placement.Assigned).replica)
    }

    @Test
    fun `a full replica still queues generations if no replica is paused`() {
        val full = replica("full").also { it.load.begin(32_000) }
        val placed = placement.forGeneration(listOf(full), emptySet(), longPrompt, engine, service)
        assertEquals(full, (placed as Placement.Assigned).replica)
    }

    @Test
    fun `a shorter pause does not end a longer one that was requested earlier`() {
        val replica = replica("one")
        replica.pauseFor(5_000)
        replica.pauseFor(500)
        nowMillis = 4_999
        assertTrue(replica.isPaused)
    }

    /** Applies calls and pauses in random order; returns the maximum number of requests to one paused replica. */
    private fun mostWhilePaused(
        seed: Long,
        choose: (List<Replica>) -> Replica?,
    ): Int {
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        nowMillis = 0
        val replicas = listOf(replica("one"), replica("two"), replica("three"))
        val pausedFrom = HashMap<Replica, Long>()
        val pausedUntil = HashMap<Replica, Long>()
        val received = HashMap<Replica, Int>()
        repeat(STEPS) {
            nowMillis += random.nextInt(60)
            val chosen = choose(replicas) ?: return@repeat
            if (nowMillis in pausedFrom.getOrDefault(chosen, 0L) + 500..<pausedUntil.getOrDefault(chosen, 0L)) {
                received.merge(chosen, 1, Int::plus)
            }
            if (random.nextInt(5) == 0) {
                val millis = 500L + random.nextInt(3_000)
                chosen.pauseFor(millis)
                pausedFrom[chosen] = nowMillis
                pausedUntil[chosen] = nowMillis + millis
            }
        }
        return received.values.maxOrNull() ?: 0
    }

    @Test
    fun `no order of calls and pauses sends a request to a paused replica`() {
        for (seed in 1L..SEEDS) {
            assertEquals(0, mostWhilePaused(seed) { (call(it) as? Placement.Assigned)?.replica })
        }
    }

    @Test
    fun `the random orders detect a selection that ignores pauses`() {
        val selection = ReplicaSelection(ZoneName("a"), random)
        val found = (1L..SEEDS).count { seed -> mostWhilePaused(seed) { selection.forCall(it) } > 2 }
        assertTrue(found > SEEDS / 2, "$found of $SEEDS orders")
    }

    private companion object {
        const val SLOTS = 6
        const val STEPS = 300
        const val SEEDS = 100L
    }
}
