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

    // Twenty versions of a configuration within two seconds occupied the link of a hub, and reached readers after 3 s.
    @Test
    fun `a reader gets only the latest change of each object`() {
        val history = history()
        history.restart(10)
        history.append(12, listOf("a=1", "b=1"))
        history.append(13, listOf("a=2"))
        history.append(15, listOf("c=1", "a=3"))
        assertEquals(listOf("b=1", "c=1", "a=3"), history.after(10))
        assertEquals(listOf("c=1", "a=3"), history.after(13))
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
        val history = ofSizes(LIMIT_BYTES)
        history.restart(0)
        sizes.forEachIndexed { index, size ->
            history.append(index + 1L, listOf(size))
            assertTrue(history.sizeBytes <= LIMIT_BYTES)
            assertEquals(history.sizeBytes, history.after(history.start)?.sum())
        }
    }

    @Test
    fun `the oldest changes are evicted first, and readers behind them get null`() {
        val history = ofSizes(limitBytes = 9)
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
        val history = ofSizes(limitBytes = 12)
        history.restart(0)
        history.append(1, listOf(4L))
        history.append(2, listOf(8L, 5L))
        assertEquals(0, history.sizeBytes)
        assertNull(history.after(1))
        assertEquals(emptyList<Long>(), history.after(2))
    }

    private fun history() = ChangeHistory<String>(LIMIT_BYTES, { it.length.toLong() }, { it.substringBefore('=') })

    /** Returns a history of changes to different objects that are their own sizes. */
    private fun ofSizes(limitBytes: Long) = ChangeHistory<Long>(limitBytes, { it }, { Any() })

    private companion object {
        const val LIMIT_BYTES = 1_000L
        const val CHANGES = 5_000
        const val LARGE_INTERVAL = 97
    }
}
