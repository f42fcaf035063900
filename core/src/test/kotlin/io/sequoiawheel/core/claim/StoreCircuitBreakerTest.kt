package io.sequoiawheel.core.claim

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreCircuitBreakerTest {
    private val breaker = StoreCircuitBreaker { 1_000 }

    @Operation
    fun tryAcquire(): Boolean = breaker.tryAcquire()

    @Operation
    fun answered() = breaker.record(true)

    @Operation
    fun unanswered() = breaker.record(false)

    /** Guards against two concurrent probes when several requests reach a store that does not answer. */
    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(300)
            .check(this::class)

    /**
     * Guards against a breaker that never closes again, or that lets every caller wait for a store that does not
     * answer.
     */
    @Test
    fun `an unresponsive store is probed at growing intervals until it answers`() {
        var now = 0L
        val timedBreaker = StoreCircuitBreaker { now }
        repeat(3) { timedBreaker.record(false) }
        val probes = (0L..20_000L).filter { millis -> timedBreaker.tryAcquire().also { now = millis + 1 } }
        assertEquals(listOf(0L, 500L, 1_500L, 3_500L, 7_500L, 15_500L), probes)
        timedBreaker.record(true)
        assertTrue(timedBreaker.tryAcquire() && timedBreaker.tryAcquire())
    }
}
