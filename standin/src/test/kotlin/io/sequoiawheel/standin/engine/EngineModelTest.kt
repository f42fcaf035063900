package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EngineModelTest {
    private val settings = EngineSettings(memoryTokens = 4_096)

    private fun engine(
        settings: EngineSettings = this.settings,
        startsCold: Boolean = false,
    ) = EngineModel(settings, OutputLengths(seed = 7), seed = 7, startsCold = startsCold)

    private fun letter(
        id: Int,
        prompt: Int = 200,
        blocks: List<Long> = emptyList(),
    ) = ModelRequest(RequestId("letter-$id"), "letters", "letter", prompt, 3_000, promptBlocks = blocks)

    private fun EngineModel.runUntilIdle(limit: Int = 100_000): List<ModelEvent> {
        val events = ArrayList<ModelEvent>()
        var now = 0.0
        repeat(limit) {
            val result = step(now.toLong())
            events += result.events
            if (result.isIdle) return events
            now += result.durationMillis
        }
        return events
    }

    /** Guards against tokens that are lost or duplicated by preemption and recomputation. */
    @Test
    fun `when memory is full requests are preempted and every generation still gets each offset once in order`() {
        val engine = engine()
        repeat(12) { engine.submit(letter(it), 0) }
        val events = engine.runUntilIdle()
        assertTrue(events.any { it is ModelEvent.Preempted })
        val tokens = events.filterIsInstance<ModelEvent.Token>().groupBy { it.generation }
        events.filterIsInstance<ModelEvent.Done>().also { assertEquals(12, it.size) }.forEach { done ->
            assertEquals((0 until done.tokens).toList(), tokens.getValue(done.generation).map { it.offset })
        }
        assertEquals(0, engine.memoryTokens)
    }

    /** Guards against a cold engine that survives full load, which would make the cold-start ramp look unnecessary. */
    @Test
    fun `full load crashes a cold engine and it restarts with a new start id`() {
        val engine = engine(EngineSettings(), startsCold = true)
        repeat(40) { engine.submit(letter(it), 0) }
        val events = engine.runUntilIdle()
        assertEquals(40, events.filterIsInstance<ModelEvent.Lost>().size)
        assertEquals("engine-2", engine.startId)
        assertTrue(engine.isDown(1_000))
        assertEquals(Submission.DOWN, engine.submit(letter(50), 1_000))
    }

    /** Guards against a cold engine that crashes under a load within its safe batch size. */
    @Test
    fun `a small load warms up a cold engine`() {
        val engine = engine(EngineSettings(), startsCold = true)
        repeat(4) { engine.submit(letter(it), 0) }
        engine.runUntilIdle()
        assertFalse(engine.loadReport(1_000_000).cold)
        assertEquals("engine-1", engine.startId)
    }

    /** Guards against a report without lag, which would flatter policies that rely on it. */
    @Test
    fun `the load report shows an older state`() {
        val engine = engine()
        assertEquals(0, engine.loadReport(0).running)
        engine.submit(letter(1), 0)
        engine.step(100)
        assertEquals(0, engine.loadReport(200).running)
        assertEquals(1, engine.loadReport(450).running)
    }

    /** Guards against cached prefixes that save no work, and against events that are published before their delay. */
    @Test
    fun `a cached prompt shortens the step and its event is delayed`() {
        val engine = engine(settings.copy(cache = EngineSettings.Cache(gapProbability = 0.0)))
        val blocks = (1L..12L).toList()
        engine.submit(letter(1, blocks = blocks), 0)
        val first = engine.step(0).durationMillis
        engine.cancel(RequestId("letter-1"))
        engine.submit(letter(2, blocks = blocks), 100)
        assertTrue(engine.step(100).durationMillis < first - 3)
        assertEquals(emptyList<CacheEvent>(), engine.cacheEvents(0, 299))
        assertEquals(blocks, engine.cacheEvents(0, 300).single().stored)
    }

    /** Guards against an engine that accepts orders from a former lease holder. */
    @Test
    fun `an order with a stale fencing number is rejected only by engines that check fencing numbers`() {
        val checking = engine()
        assertTrue(checking.acceptOrder("model/tags", 2, "loaded", 0))
        assertFalse(checking.acceptOrder("model/tags", 1, "unloaded", 0))
        assertFalse(checking.orders(4_999).single().isInEffect)
        assertTrue(checking.orders(5_000).single().isInEffect)
        val ignoring = engine(settings.copy(orders = EngineSettings.Orders(checksFencing = false)))
        ignoring.acceptOrder("role", 2, "prefill", 0)
        assertTrue(ignoring.acceptOrder("role", 1, "decode", 0))
    }

    /** Guards against a resume that succeeds after the resume window or fails within it. */
    @Test
    fun `a finished generation can be read only within its resume window`() {
        val engine = engine()
        engine.submit(ModelRequest(RequestId("short"), "letters", "summary", 20, 5), 0)
        engine.runUntilIdle()
        assertTrue(engine.status(RequestId("short"), 10_000)!!.isDone)
        assertNull(engine.status(RequestId("short"), 40_000))
    }
}
