package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ChangeHistoryTest {
    @Test
    fun `a reader gets the changes after its revision in order`() {
        val history = ChangeHistory<String>()
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
        val history = ChangeHistory<String>()
        history.restart(10)
        history.append(15, listOf("a", "b"))
        assertEquals(listOf("a", "b"), history.after(13))
    }

    @Test
    fun `a revision before the start of the history returns null`() {
        val history = ChangeHistory<String>()
        history.restart(10)
        assertNull(history.after(9))
    }

    @Test
    fun `appending an older revision does not move the revision back`() {
        val history = ChangeHistory<String>()
        history.restart(10)
        history.append(14, emptyList())
        history.append(12, emptyList())
        assertEquals(14, history.revision)
        assertEquals(emptyList<String>(), history.after(14))
    }

    @Test
    fun `the oldest changes are evicted first, and readers behind them get null`() {
        val history = ChangeHistory<Int>(limit = 3)
        history.restart(0)
        for (revision in 1..5) history.append(revision.toLong(), listOf(revision))
        assertNull(history.after(1))
        assertEquals(listOf(3, 4, 5), history.after(2))
    }
}
