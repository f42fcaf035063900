package io.sequoiawheel.experiment

import io.sequoiawheel.experiment.grants.EngineLossExperiment
import io.sequoiawheel.experiment.grants.ZoneChangeExperiment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Replays seeds on which requests were refused although a replica had capacity, or were sent to failed replicas. */
class SpuriousRefusalTest {
    private fun violations(
        experiment: Experiment,
        seed: Long,
    ) = experiment.run(ExperimentOptions(seed, load = 0.9)).violations

    @Test
    fun `a request that waited too long is refused only if no replica has capacity`() {
        for (seed in listOf(1L, 2L, 5L, 6L)) assertEquals(emptyList<String>(), violations(ZoneChangeExperiment(), seed))
    }

    @Test
    fun `a request is not refused before a replica that has just returned is tried`() {
        assertEquals(emptyList<String>(), violations(EngineLossExperiment(), 10))
    }

    @Test
    fun `a request is not retried at a replica that it could not reach`() {
        assertEquals(emptyList<String>(), violations(EngineLossExperiment(), 2))
    }
}
