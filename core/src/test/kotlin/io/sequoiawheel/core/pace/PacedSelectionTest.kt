package io.sequoiawheel.core.pace

import io.sequoiawheel.core.pace.PaceFleet.Companion.LONG
import io.sequoiawheel.core.pace.PaceFleet.Companion.PROFILE
import io.sequoiawheel.core.pace.PaceFleet.Companion.SHORT
import io.sequoiawheel.core.relay.Replica
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Placement of long and short streams on engines with 26,800 tokens of memory that report their speed. */
class PacedSelectionTest {
    private val fleet = PaceFleet()

    /** A quarter of 8 engines takes 0.55 of the usual time, the others 1.2. */
    private val uneven = List(8) { fleet.engineOf("engine-$it", if (it % 4 == 0) 0.55 else 1.2) }
    private val fast = uneven.filterIndexed { index, _ -> index % 4 == 0 }

    // Guards against equal shares for engines of unequal speed, where the slow ones delay the first events.
    @Test
    fun `engines of twice the speed take more long streams but not more than fit into their memory`() {
        repeat(40) {
            val chosen = checkNotNull(fleet.selection.forGeneration(uneven, LONG, PROFILE))
            fleet.begin(chosen, LONG, isReading = it % 3 == 0)
        }
        val counts = uneven.associateWith { it.load.running }
        val mean = { engines: List<Replica> -> engines.map { counts.getValue(it) }.average() }
        assertTrue(mean(fast) > mean(uneven - fast), "$counts")
        assertTrue(uneven.all { it.load.totalTokens <= PROFILE.memoryTokens }, "$counts")
        assertTrue((uneven - fast).all { counts.getValue(it) > 0 }, "$counts")
    }

    @Test
    fun `engines that take twice the usual time get less, not none`() {
        val engines = List(8) { fleet.engineOf("engine-$it", if (it % 4 == 0) 2.0 else 1.0) }
        val slow = engines.filterIndexed { index, _ -> index % 4 == 0 }
        repeat(32) { fleet.begin(checkNotNull(fleet.selection.forGeneration(engines, SHORT, PROFILE)), SHORT) }
        val slowMean = slow.map { it.load.running }.average()
        val otherMean = (engines - slow).map { it.load.running }.average()
        assertTrue(slowMean > 0 && slowMean < otherMean * 0.75, "$slowMean of slow engines, $otherMean of others")
    }

    // Guards against new prompts on an engine in a slow spell, which lengthen the pauses of its streams beyond 180 ms.
    @Test
    fun `prompts avoid an engine in a slow spell`() {
        val engines = List(4) { fleet.engineOf("engine-$it", 1.2) }
        engines.forEach { engine -> repeat(4) { fleet.begin(engine, LONG, isReading = false) } }
        engines.first().pace.recordFigure(250)
        val counts = fleet.choices(engines, SHORT, 400)
        assertTrue((counts[engines.first()] ?: 0) < 20, "$counts")
    }

    @Test
    fun `a long stream goes where its pause stays below the limit in a spell`() {
        val engines = listOf(fleet.engineOf("fast", 0.55), fleet.engineOf("slow", 1.2))
        engines.forEach { engine -> repeat(3) { fleet.begin(engine, LONG, isReading = false) } }
        val counts = fleet.choices(engines, LONG, 200)
        assertTrue((counts[engines.first()] ?: 0) > 180, "$counts")
    }

    @Test
    fun `an engine already reading prompts gets no further one while another has none`() {
        val engines = List(2) { fleet.engineOf("engine-$it", 1.2) }
        repeat(2) { fleet.begin(engines.first(), LONG) }
        repeat(2) { fleet.begin(engines.last(), LONG, isReading = false) }
        val counts = fleet.choices(engines, SHORT, 200)
        assertTrue((counts[engines.last()] ?: 0) > 190, "$counts")
    }

    // Guards against preemption of running streams by a fast engine that is filled beyond its memory.
    @Test
    fun `memory binds also on the fastest engine`() {
        val engines = listOf(fleet.engineOf("fast", 0.3), fleet.engineOf("slow", 1.2))
        repeat(7) { fleet.begin(engines.first(), LONG, isReading = false) }
        val counts = fleet.choices(engines, LONG, 200)
        assertEquals(200, counts[engines.last()], "$counts")
    }

    @Test
    fun `requests stay in the zone until it is busy, and return when it is not`() {
        val near = List(2) { fleet.engineOf("near-$it", 1.2) }
        val far = List(4) { fleet.engineOf("far-$it", 1.2, zone = "b") }
        assertTrue(fleet.choices(near + far, SHORT, 200).keys.all { it in near })
        near.forEach { engine -> repeat(5) { fleet.begin(engine, LONG) } }
        assertTrue(
            fleet
                .choices(near + far, SHORT, 200)
                .filterKeys { it in far }
                .values
                .sum() > 190,
        )
        for (engine in near) {
            engine.load.endPrompt(engine.load.promptTokens)
            repeat(4) { engine.load.end(LONG.tokens) }
        }
        assertTrue(
            fleet
                .choices(near + far, SHORT, 200)
                .filterKeys { it in near }
                .values
                .sum() > 100,
        )
    }

    // Guards against a silent replica being taken for a fast or a dead one.
    @Test
    fun `an engine that reports nothing gets its share beside others that do`() {
        val engines = listOf(fleet.engineOf("known", 1.0), fleet.engine("silent"))
        val counts = fleet.choices(engines, SHORT, 400)
        assertTrue(counts.values.all { it > 100 }, "$counts")
    }

    // Guards against a replica that is never tried again after its estimate went wrong.
    @Test
    fun `an engine that seems ten times too slow still gets a few requests`() {
        val engines = listOf(fleet.engineOf("usual", 1.0), fleet.engineOf("wrong", 10.0))
        val counts = fleet.choices(engines, SHORT, 4_000)
        assertTrue((counts[engines.last()] ?: 0) in 1..80, "$counts")
    }

    @Test
    fun `a restarted replica has no pace`() {
        val engine = fleet.engineOf("engine", 2.0)
        val restarted = fleet.engine("engine", startedAtMillis = 2)
        assertTrue(engine.pace.factor() > 1.7)
        assertEquals(1.0, restarted.pace.factor())
    }
}
