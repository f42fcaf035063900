package io.sequoiawheel.core.claim

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreGateTest {
    private val gate = StoreGate { 1_000 }

    @Operation
    fun mayTry(): Boolean = gate.mayTry()

    @Operation
    fun answered() = gate.record(true)

    @Operation
    fun unanswered() = gate.record(false)

    /** Guards against two probes at once when several requests meet a store that does not answer. */
    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(300)
            .check(this::class)

    /** Guards against a gate that stays closed, or that lets every caller wait for a silent store. */
    @Test
    fun `a silent store is probed at growing pauses until it answers`() {
        var now = 0L
        val timed = StoreGate { now }
        repeat(3) { timed.record(false) }
        val probes = (0L..20_000L).filter { millis -> timed.mayTry().also { now = millis + 1 } }
        assertEquals(listOf(0L, 500L, 1_500L, 3_500L, 7_500L, 15_500L), probes)
        timed.record(true)
        assertTrue(timed.mayTry() && timed.mayTry())
    }
}
