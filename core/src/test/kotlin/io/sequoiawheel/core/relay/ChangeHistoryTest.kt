package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ChangeHistoryTest {
    @Test
    fun `a reader gets the changes after its revision in order`() {
        val history = history()
        history.restart(10)
        history.append(12, listOf("a"))
        history.append(15, listOf("b", "c"))
        assertEquals(listOf("a", "b", "c"), history.after(10))
        assertEquals(listOf("b", "c"), history.after(12))
        assertEquals(emptyList<String>(), history.after(15))
        assertEquals(15, history.revision)
    }

    @Test
    fun `a revision inside a batch returns the whole batch`() {
        val history = history()
        history.restart(10)
        history.append(15, listOf("a", "b"))
        assertEquals(listOf("a", "b"), history.after(13))
    }

    @Test
    fun `a revision before the start of the history returns null`() {
        val history = history()
        history.restart(10)
        assertNull(history.after(9))
    }

    @Test
    fun `appending an older revision does not move the revision back`() {
        val history = history()
        history.restart(10)
        history.append(14, emptyList())
        history.append(12, emptyList())
        assertEquals(14, history.revision)
        assertEquals(emptyList<String>(), history.after(14))
    }

    // A limit on the number of changes let 120 versions of a large configuration fill the heap.
    @Test
    fun `the retained changes never exceed the limit in bytes, whatever their number and size`() {
        val sizes = List(CHANGES) { index -> if (index % LARGE_INTERVAL == 0) LIMIT_BYTES - 1 else 1L + index % 7 }
        val history = ChangeHistory<Long>(LIMIT_BYTES) { it }
        history.restart(0)
        sizes.forEachIndexed { index, size ->
            history.append(index + 1L, listOf(size))
            assertTrue(history.sizeBytes <= LIMIT_BYTES)
            assertEquals(history.sizeBytes, history.after(history.start)?.sum())
        }
    }

    @Test
    fun `the oldest changes are evicted first, and readers behind them get null`() {
        val history = ChangeHistory<Long>(limitBytes = 9) { it }
        history.restart(0)
        for (revision in 1L..5L) history.append(revision, listOf(revision))
        assertNull(history.after(2))
        assertTrue(history.hasAfter(2))
        assertEquals(listOf(4L, 5L), history.after(3))
        assertTrue(history.hasAfter(3))
        assertFalse(history.hasAfter(5))
    }

    // A history that kept its newest batch regardless of its size had no bound.
    @Test
    fun `a batch that is larger than the limit is not retained, and all readers get null`() {
        val history = ChangeHistory<Long>(limitBytes = 12) { it }
        history.restart(0)
        history.append(1, listOf(4L))
        history.append(2, listOf(8L, 5L))
        assertEquals(0, history.sizeBytes)
        assertNull(history.after(1))
        assertEquals(emptyList<Long>(), history.after(2))
    }

    private fun history() = ChangeHistory<String>(LIMIT_BYTES) { it.length.toLong() }

    private companion object {
        const val LIMIT_BYTES = 1_000L
        const val CHANGES = 5_000
        const val LARGE_INTERVAL = 97
    }
}
