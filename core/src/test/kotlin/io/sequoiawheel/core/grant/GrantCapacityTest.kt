package io.sequoiawheel.core.grant

import io.sequoiawheel.core.model.InstanceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GrantCapacityTest {
    private fun simulations(newPolicy: (GrantSimulation, InstanceId) -> GrantPolicy): List<GrantSimulation> =
        (1L..SEEDS).map { seed -> GrantSimulation(seed, newPolicy).also { it.run(DURATION_MILLIS) } }

    private fun countViolations(simulations: List<GrantSimulation>) =
        simulations.count {
            it.peakTokens >
                GrantSimulation.CAPACITY
        }

    /** Guards against a simulation whose faults cannot make any policy exceed the capacity. */
    @Test
    fun `an even split and registered shares without credits exceed the capacity`() {
        val split = simulations { simulation, _ -> EvenSplitPolicy(simulation) }
        val shares = simulations { simulation, self -> RegisteredSharePolicy(simulation, self) }
        assertTrue(countViolations(split) > 0)
        assertTrue(countViolations(shares) > 0)
    }

    /** Guards against overloading a replica when entry instances have different or stale views of each other. */
    @Test
    fun `the ledger policy never exceeds the capacity of the replica`() {
        val simulations = simulations { simulation, self -> LedgerPolicy(simulation, self) }
        assertEquals(0, countViolations(simulations))
        assertTrue(simulations.all { it.dispatched > MINIMUM_DISPATCHED })
    }

    private companion object {
        const val SEEDS = 10L
        const val DURATION_MILLIS = 300_000L
        const val MINIMUM_DISPATCHED = 500
    }
}
