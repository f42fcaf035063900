package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private val report = LoadReport("a-1", memoryCapacityTokens = 1_000, maximumConcurrent = 3)

private fun memory() = ReplicaMemory(SafetyFactor(initial = 0.9)).apply { report(report, 0) }

class ReplicaMemoryTest {
    private val memory = memory()

    private fun reserve(
        id: Int,
        remaining: List<Int>,
        nowMillis: Long,
    ) = memory.reserve(RequestId("r$id"), 100, GenerationForecast(100, remaining), nowMillis)

    /** Guards against admission by current use, which lets the memory fill up while requests decode. */
    @Test
    fun `a request is admitted only if the expected peak fits`() {
        assertTrue(reserve(1, listOf(500, 500), 0))
        assertEquals(900 - 600, memory.freeTokens(0))
        assertFalse(reserve(2, listOf(500, 500), 1_000))
        assertTrue(reserve(2, listOf(100, 100), 2_000))
        memory.release(RequestId("r1"))
        assertTrue(reserve(3, listOf(500, 500), 3_000))
    }

    /**
     * Guards against computing two prompts in one step, which delays both first tokens and every running generation.
     */
    @Test
    fun `a second prompt waits until the first is probably computed`() {
        assertTrue(reserve(1, listOf(10, 10), 0))
        assertFalse(reserve(2, listOf(10, 10), 30))
        assertTrue(reserve(2, listOf(10, 10), 40))
    }

    /** Guards against reservations beyond the maximum concurrency that the replica reports. */
    @Test
    fun `the concurrency limit holds`() {
        assertTrue((0..2).all { reserve(it, listOf(1, 1), it * 100L) })
        assertFalse(reserve(3, listOf(1, 1), 1_000))
        assertEquals(0, memory.freeRequests)
    }

    /** Guards against counting every generation in full at each of its quantiles. */
    @Test
    fun `the expected peak is the mean over the quantiles`() {
        val forecasts = List(10) { GenerationForecast(100, listOf(50, 150)) }
        assertEquals(1_500, MemoryPredictor.expectedPeakTokens(forecasts))
    }
}

@Param(name = "id", gen = IntGen::class, conf = "1:3")
class ReplicaMemoryLincheckTest {
    private val memory = memory()

    @Operation
    fun reserve(
        @Param(name = "id") id: Int,
    ): Boolean = memory.reserve(RequestId("r$id"), 100, GenerationForecast(100, listOf(300)), id * 1_000L)

    @Operation
    fun release(
        @Param(name = "id") id: Int,
    ) = memory.release(RequestId("r$id"))

    @Operation
    fun freeRequests(): Int = memory.freeRequests

    /** Guards against two concurrent reservations that both take the last free capacity of a replica. */
    @Test
    fun `the replica's memory is linearizable`() =
        ModelCheckingOptions()
            .iterations(5)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(100)
            .check(this::class)
}
