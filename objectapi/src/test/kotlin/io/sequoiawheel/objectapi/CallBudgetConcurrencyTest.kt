package io.sequoiawheel.objectapi

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against two coroutines that take the last call of the budget together. */
class CallBudgetConcurrencyTest {
    private val budget = CallBudget(callsPerSecond = 1.0, burst = 4, clock = { 0L })

    @Operation
    fun take(): Long = budget.take()

    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(3)
            .invocationsPerIteration(500)
            .check(this::class)
}
