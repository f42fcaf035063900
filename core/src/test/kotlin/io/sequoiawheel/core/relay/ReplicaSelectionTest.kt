package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Selection for generations with long prompts on engines with 34,000 tokens of memory. */
class ReplicaSelectionTest {
    private var nowMillis = 0L
    private val selection = ReplicaSelection(ZoneName("a"), RandomSource.XO_RO_SHI_RO_128_PP.create(7L))
    private val engine = EngineProfile(24, 34_000, 163_840, 4, supportsMigration = true, supportsBackup = true)
    private val longPrompt = GenerationDemand(promptTokens = 3_000, outputTokens = 940)

    private fun replica(
        id: String,
        zone: String = "a",
        coldForMillis: Long = 0,
    ) = Replica(
        ReplicaEntry(
            InstanceId(id),
            ServiceName("writers"),
            "127.0.0.1",
            1,
            ZoneName(zone),
            6,
            false,
            coldForMillis,
            1,
        ),
    ) { nowMillis }

    @Test
    fun `a burst of long prompts is spread evenly by queued prompt tokens`() {
        val replicas = listOf(replica("one"), replica("two"), replica("three"))
        repeat(9) {
            val chosen = selection.forGeneration(replicas, longPrompt, engine)!!
            chosen.load.begin(longPrompt.tokens)
            chosen.load.beginPrompt(longPrompt.promptTokens.toLong())
        }
        assertEquals(listOf(9_000L, 9_000L, 9_000L), replicas.map { it.load.totalPromptTokens })
    }

    @Test
    fun `load of other instances counts like local load`() {
        val crowded = replica("crowded").also { it.load.remoteTokens = 30_000 }
        val free = replica("free", zone = "b").also { it.load.begin(4_000) }
        assertEquals(free, selection.forGeneration(listOf(crowded, free), longPrompt, engine))
    }

    @Test
    fun `a full replica is selected only if all are full`() {
        val full = replica("full").also { it.load.begin(32_000) }
        val available = replica("available", zone = "b").also { it.load.begin(20_000) }
        assertEquals(available, selection.forGeneration(listOf(full, available), longPrompt, engine))
        assertEquals(full, selection.forGeneration(listOf(full), longPrompt, engine))
    }

    @Test
    fun `a backup never displaces generations, and no copy exceeds the memory`() {
        val crowded = replica("crowded").also { it.load.begin(28_000) }
        assertNull(selection.forCopy(listOf(crowded), longPrompt, engine, ZoneName("a"), isUrgent = false))
        crowded.load.begin(2_100)
        assertNull(selection.forCopy(listOf(crowded), longPrompt, engine, ZoneName("a"), isUrgent = true))
    }

    @Test
    fun `an urgent copy stays in the zone of its source, where it takes half the time, if memory permits`() {
        val near = replica("near", zone = "b").also { it.load.begin(28_000) }
        val far = replica("far", zone = "c")
        assertEquals(near, selection.forCopy(listOf(near, far), longPrompt, engine, ZoneName("b"), isUrgent = true))
    }

    @Test
    fun `a backup of a remote generation is placed in the local zone to survive a partition`() {
        val local = replica("local", zone = "a").also { it.load.begin(12_000) }
        val nearSource = replica("nearSource", zone = "b")
        assertEquals(
            local,
            selection.forCopy(listOf(local, nearSource), longPrompt, engine, ZoneName("b"), isUrgent = false),
        )
    }

    @Test
    fun `a backup is placed outside its generation's zone to survive the loss of that zone`() {
        val nearSource = replica("nearSource", zone = "a")
        val remote = replica("remote", zone = "c").also { it.load.begin(12_000) }
        assertEquals(
            remote,
            selection.forCopy(listOf(nearSource, remote), longPrompt, engine, ZoneName("a"), isUrgent = false),
        )
        remote.load.begin(16_000)
        assertEquals(
            nearSource,
            selection.forCopy(listOf(nearSource, remote), longPrompt, engine, ZoneName("a"), isUrgent = false),
        )
    }

    // Backups filled the memory of the fast engines, where generations finish in half the time.
    @Test
    fun `a backup is placed on a slow engine unless the fast one has much more memory free`() {
        val fast = replica("fast", zone = "b")
        val slow = replica("slow", zone = "b")
        repeat(5) {
            nowMillis += 700
            fast.pace.recordFigure(55)
            slow.pace.recordFigure(120)
        }
        val backup = { selection.forCopy(listOf(fast, slow), longPrompt, engine, ZoneName("a"), isUrgent = false) }
        slow.load.begin(10_000)
        assertEquals(slow, backup())
        slow.load.begin(9_000)
        assertEquals(fast, backup())
    }

    @Test
    fun `generations and calls stay in the local zone unless it is much fuller`() {
        val local = replica("local", zone = "a").also { it.load.begin(6_000) }
        val other = replica("other", zone = "b")
        assertEquals(local, selection.forGeneration(listOf(local, other), longPrompt, engine))
        assertEquals(local, selection.forCall(listOf(local, other)))
        local.load.begin(12_000)
        assertEquals(other, selection.forGeneration(listOf(local, other), longPrompt, engine))
    }

    @Test
    fun `a replica that fails half of its calls is not selected for calls`() {
        val failing = replica("failing")
        val healthy = replica("healthy", zone = "b")
        repeat(20) { failing.load.recordOutcome(failed = it % 2 == 0) }
        assertTrue((1..100).count { selection.forCall(listOf(failing, healthy)) == failing } == 0)
    }

    @Test
    fun `an unreachable replica is avoided until its backoff ends`() {
        val dead = replica("dead")
        val alive = replica("alive", zone = "b").also { it.load.begin(20_000) }
        dead.markUnreachable()
        assertEquals(alive, selection.forGeneration(listOf(dead, alive), longPrompt, engine))
        assertEquals(dead, selection.forCall(listOf(dead)))
        nowMillis += 1_000
        assertEquals(dead, selection.forGeneration(listOf(dead, alive), longPrompt, engine))
        repeat(2) { dead.markUnreachable() }
        nowMillis += 1_700
        assertEquals(alive, selection.forGeneration(listOf(dead, alive), longPrompt, engine))
    }
}
