package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.grants.EngineLossExperiment
import io.sequoiawheel.experiment.grants.ZoneChangeExperiment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Seeds on which requests were refused while a replica had room, or failed on replicas that died before. */
class LostRoomTest {
    private fun violations(
        experiment: Experiment,
        seed: Long,
    ) = experiment.run(ExperimentOptions(seed, load = 0.9)).violations

    @Test
    fun `a request that waited its time is refused only if no replica has room`() {
        for (seed in listOf(1L, 2L, 5L, 6L)) assertEquals(emptyList<String>(), violations(ZoneChangeExperiment(), seed))
    }

    @Test
    fun `a replica that has just come back is asked before a refusal`() {
        assertEquals(emptyList<String>(), violations(EngineLossExperiment(), 10))
    }

    @Test
    fun `a request does not go back to the replica that it could not reach`() {
        assertEquals(emptyList<String>(), violations(EngineLossExperiment(), 2))
    }
}
