package io.sequoiawheel.core.admission

import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class MemoryPredictorTest {
    /** Guards against a peak computation that misses the true peak because it looks only at the predicted ends. */
    @Test
    fun `the peak equals that of a step by step simulation`() {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(11)
        repeat(50) {
            val running = List(1 + random.nextInt(20)) { RunningEstimate(random.nextInt(500), random.nextInt(300)) }
            val simulated =
                (0..300).maxOf { step ->
                    running.filter { it.remainingTokens >= step }.sumOf { it.heldTokens + step }
                }
            assertEquals(simulated.toLong(), MemoryPredictor.peakTokens(running))
        }
    }

    /**
     * Guards against a factor that ignores preemptions, or mistakes the new counter after a restart for a preemption.
     */
    @Test
    fun `the safety factor decreases by a tenth on a preemption`() {
        val factor = SafetyFactor(initial = 0.9)
        factor.report("a-1", 3, 0)
        assertEquals(0.9, factor.value(0))
        factor.report("a-1", 5, 1_000)
        assertEquals(0.81, factor.value(1_000), 1e-9)
        factor.report("a-2", 6, 7_000)
        assertEquals(0.81, factor.value(7_000), 1e-9)
    }

    /** Guards against a factor that rises without demand, or never recovers from a preemption. */
    @Test
    fun `the safety factor rises only while requests are denied`() {
        val factor = SafetyFactor(initial = 0.8, maximum = 0.9, recoveryPerSecond = 0.01, demandMillis = 1_000)
        assertEquals(0.8, factor.value(60_000))
        factor.reportDenial(60_000)
        assertEquals(0.81, factor.value(90_000), 1e-9)
        repeat(20) { factor.reportDenial(90_000L + it * 1_000) }
        assertEquals(0.9, factor.value(120_000))
    }
}
