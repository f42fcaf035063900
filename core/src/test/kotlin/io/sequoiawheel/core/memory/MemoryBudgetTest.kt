package io.sequoiawheel.core.memory

import io.sequoiawheel.core.model.Clock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MemoryBudgetTest {
    private var nowMillis = 0L
    private val budget = MemoryBudget(initialTotalBytes = 10_000, newcomerBytes = 500, Clock { nowMillis })
    private val evicted = ArrayList<String>()

    private fun open(name: String) = budget.open { evicted += name }

    private fun MemoryAccount.receive(bytes: Long): Boolean = tryReserve(bytes).also { recordProgress(bytes) }

    @Test
    fun `a closed account holds nothing`() {
        val account = open("a")
        assertTrue(account.tryReserve(4_000))
        account.release(1_000)
        assertEquals(3_000, budget.heldBytes)
        account.close()
        account.close()
        account.release(3_000)
        assertEquals(0, budget.heldBytes)
        assertEquals(0, budget.accountCount)
        assertFalse(account.tryReserve(1))
    }

    @Test
    fun `the total is never exceeded and large accounts leave the reserve`() {
        val first = open("first")
        assertTrue(first.receive(7_500))
        assertFalse(open("second").receive(600))
        assertEquals(7_500, budget.heldBytes)
        assertEquals(emptyList<String>(), evicted)
    }

    // Callers with many stalled bodies must not keep an ordinary caller from being served.
    @Test
    fun `a newcomer finds the reserve`() {
        val pinned = open("pinned")
        assertTrue(pinned.receive(7_500))
        pinned.isEvictable = false
        repeat(5) { assertTrue(open("newcomer $it").receive(500)) }
        assertEquals(10_000, budget.heldBytes)
    }

    // A body that stopped just short of its end kept its memory while others were refused.
    @Test
    fun `the account with the least progress for its bytes is evicted first`() {
        val stalled = open("stalled")
        val slow = open("slow")
        assertTrue(stalled.receive(3_000))
        assertTrue(slow.receive(3_000))
        repeat(10) {
            nowMillis += 1_000
            slow.recordProgress(20)
        }
        assertTrue(open("quick").receive(3_000))
        assertEquals(listOf("stalled"), evicted)
        assertTrue(open("another").receive(3_000))
        assertEquals(listOf("stalled", "slow"), evicted)
        assertEquals(6_000, budget.heldBytes)
    }

    // Evicting the oldest of many equal bodies would complete none of them.
    @Test
    fun `among accounts that progress the youngest gives way`() {
        val first = open("first")
        val second = open("second")
        assertTrue(first.receive(3_700))
        assertTrue(second.receive(3_700))
        assertTrue(first.receive(600))
        assertEquals(listOf("second"), evicted)
        assertTrue(first.receive(3_000))
    }

    @Test
    fun `an account that is not evictable stays`() {
        val serving = open("serving")
        assertTrue(serving.receive(7_000))
        serving.isEvictable = false
        nowMillis += 60_000
        assertFalse(open("other").receive(1_000))
        assertEquals(emptyList<String>(), evicted)
    }

    @Test
    fun `stalled newcomers give way to another one`() {
        repeat(20) { assertTrue(open("$it").receive(500)) }
        nowMillis += 30_000
        assertTrue(open("last").receive(400))
        assertEquals(1, evicted.size)
    }

    @Test
    fun `what exceeds the total by itself is refused without evicting anyone`() {
        assertTrue(open("small").receive(400))
        nowMillis += 30_000
        assertFalse(open("large").receive(10_001))
        assertEquals(emptyList<String>(), evicted)
    }

    // A configuration may allow a body that is larger than the total chosen from the memory of the process.
    @Test
    fun `a raised total holds a single body of the largest size`() {
        budget.raiseTotal(5_000)
        assertEquals(10_000, budget.totalBytes)
        budget.raiseTotal(30_000)
        assertTrue(open("largest").receive(30_000))
        assertTrue(open("newcomer").receive(500))
    }

    @Test
    fun `an account that has just begun to hold bytes is not slow`() {
        val fresh = open("fresh")
        nowMillis += 30_000
        assertTrue(fresh.tryReserve(7_000))
        assertFalse(open("other").receive(600))
        assertEquals(emptyList<String>(), evicted)
    }
}
