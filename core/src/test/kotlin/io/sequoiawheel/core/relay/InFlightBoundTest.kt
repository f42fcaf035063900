package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Placement of generations beside what all instances have in flight to engines of 24 slots that queue 72. */
class InFlightBoundTest {
    private class KnownLoad(
        fleet: FleetMembership,
        override val loadAgeMillis: Long?,
    ) : FleetMembership by fleet

    private val fleet = FixedFleet(instanceCount = 95)
    private val engine = EngineProfile(24, 26_800, 163_840, 4, supportsMigration = true, supportsBackup = true)
    private val demand = GenerationDemand(promptTokens = 20, outputTokens = 20)
    private val service = RelayService(ServiceName("writers"), "/healthz", 100, 0.0, 0.0, engine)

    private fun replica(id: String) =
        Replica(ReplicaEntry(InstanceId(id), service.name, "h", 1, ZoneName("a"), 24, false, 0, 1)) { 0L }

    private fun placement(
        loadAgeMillis: Long? = 100,
        seed: Long = 7,
    ): ReplicaPlacement {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val selection = ReplicaSelection(ZoneName("a"), random)
        val bound = InFlightBound(KnownLoad(fleet, loadAgeMillis))
        return ReplicaPlacement(
            selection,
            random,
            RequestLimiter(fleet),
            OverflowLimiter(fleet),
            bound,
        ) { _, _ -> true }
    }

    private fun ReplicaPlacement.place(engines: List<Replica>) =
        forGeneration(engines, emptySet(), demand, engine, service)

    private fun Placement.replica() = (this as? Placement.Assigned)?.replica

    // Instances each sent an engine what it had room for by their own count; together that exceeded its memory.
    @Test
    fun `an engine that holds all that it runs and queues receives nothing`() {
        val full = replica("full").also { it.load.remoteRunning = 95 }
        val other = replica("other").also { it.load.remoteTokens = 60_000 }
        assertEquals(full, placement().place(listOf(full, other)).replica(), "one place is left")
        full.load.begin(0)
        repeat(8) { assertEquals(other, placement().place(listOf(full, other)).replica()) }
    }

    // Guards against a refusal without a time to try again.
    @Test
    fun `generations are deferred while all engines are at the bound`() {
        val engines = List(2) { replica("engine-$it").also { engine -> engine.load.remoteRunning = 96 } }
        val placed = placement().place(engines)
        assertTrue((placed as Placement.Deferred).retryAfterMillis >= ReplicaPlacement.FULL_GENERATIONS_MILLIS)
        engines.last().load.remoteRunning = 95
        assertEquals(engines.last(), placement().place(engines).replica())
    }

    // Copies and backups that instances keep at an engine filled it beside the generations that were counted.
    @Test
    fun `copies and backups count as requests and are bound themselves`() {
        val full = replica("full")
        full.load.remoteRunning = 80
        full.load.remoteCopies = 14
        full.load.reserve(40)
        assertTrue(placement().hasRoomForCopy(full, service))
        full.load.beginCopy()
        assertTrue(placement().place(listOf(full)) is Placement.Deferred)
        assertFalse(placement().hasRoomForCopy(full, service))
        full.load.release(40)
        assertTrue(placement().hasRoomForCopy(full, service))
    }

    // An instance without messages must not be kept from serving by what it heard last.
    @Test
    fun `without load messages the own count decides`() {
        val engine = replica("engine").also { it.load.remoteRunning = 200 }
        assertEquals(engine, placement(loadAgeMillis = null).place(listOf(engine)).replica())
        repeat(96) { engine.load.begin(0) }
        assertTrue(placement(loadAgeMillis = null).place(listOf(engine)) is Placement.Deferred)
    }

    // Guards against an effect on placement while no engine is near its bound.
    @Test
    fun `below the bound the choice is that of the selection`() {
        val loads = RandomSource.SPLIT_MIX_64.create(3)
        for (seed in 1L..500L) {
            val engines =
                List(4) { number ->
                    replica("engine-$number").also {
                        it.load.remoteRunning = loads.nextInt(90)
                        it.load.remoteTokens = loads.nextInt(40_000).toLong()
                        it.load.remoteCopies = loads.nextInt(6)
                    }
                }
            val selection = ReplicaSelection(ZoneName("a"), RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
            val expected = selection.forGeneration(engines, demand, engine)
            assertEquals(expected, placement(seed = seed).place(engines).replica())
        }
    }

    // Guards against a burst at 95 instances, each of which knows the load of up to 200 ms ago, that fills the engines
    // far beyond the bound. The burst asks for more than twice what four engines run and queue.
    @Test
    fun `a burst at many instances exceeds the bound by no more than arrives before it is known`() {
        val burst = Burst()
        repeat(STEPS, burst::step)
        println("at most ${burst.most} in flight to one engine")
        assertTrue(burst.most >= BOUND, "the burst does not reach the bound: ${burst.most}")
        assertTrue(burst.most <= BOUND + STEPS_PER_MESSAGE * ARRIVALS_PER_STEP, "${burst.most} in flight to one engine")
    }

    /** Instances that place short generations on the same engines, in steps of virtual time. */
    private inner class Burst {
        private val random = RandomSource.SPLIT_MIX_64.create(11)
        private val placements = List(INSTANCES) { placement(seed = it.toLong()) }
        private val engines = List(INSTANCES) { List(ENGINES) { number -> replica("engine-$number") } }
        private val ends = ArrayDeque<Pair<Int, Replica>>()
        private val inFlight = HashMap<InstanceId, Int>()

        /** The most that was in flight to one engine. */
        var most = 0
            private set

        fun step(step: Int) {
            if (step % STEPS_PER_MESSAGE == 0) engines.flatten().forEach(::receiveLoad)
            while (ends.isNotEmpty() && ends.first().first <= step) end(ends.removeFirst().second)
            repeat(ARRIVALS_PER_STEP) {
                val instance = random.nextInt(INSTANCES)
                placements[instance].place(engines[instance]).replica()?.let { begin(it, step) }
            }
        }

        private fun receiveLoad(replica: Replica) {
            replica.load.remoteRunning = (inFlight[replica.entry.id] ?: 0) - replica.load.running
        }

        private fun begin(
            replica: Replica,
            step: Int,
        ) {
            replica.load.begin(demand.tokens)
            most = maxOf(most, checkNotNull(inFlight.merge(replica.entry.id, 1, Int::plus)))
            ends += step + DURATION_STEPS to replica
        }

        private fun end(replica: Replica) {
            replica.load.end(demand.tokens)
            inFlight.merge(replica.entry.id, -1, Int::plus)
        }
    }

    private companion object {
        const val BOUND = 96
        const val INSTANCES = 95
        const val ENGINES = 4

        /** Steps of 20 ms, with load messages every 200 ms. */
        const val STEPS = 1_000
        const val STEPS_PER_MESSAGE = 10
        const val ARRIVALS_PER_STEP = 3
        const val DURATION_STEPS = 300
    }
}
