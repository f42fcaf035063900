package io.sequoiawheel.experiment.state

import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.claims.AtMostOnceExperiment
import io.sequoiawheel.experiment.configuration.ConfigurationExperiment
import io.sequoiawheel.experiment.configuration.ConfigurationScenario
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ExperimentsTest {
    private fun ExperimentReport.figure(
        name: String,
        policy: String = ExperimentReport.OWN_POLICY,
    ) = policies.getValue(policy).getValue(name)

    /** Guards against broken promises under overlapping faults, and against faults too mild to make a baseline fail. */
    @Test
    fun `non-idempotent calls run at most once with claims and more than once without them`() {
        val report = AtMostOnceExperiment().run(ExperimentOptions(seed = 1))
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.figure("factsExaminedP6") > 1_000)
        assertTrue(report.figure("callsRunTwiceOrMore", "no-claims") > 0)
    }

    /** Guards against late, reverted or unaudited changes, and against faults too mild to delay a baseline. */
    @Test
    fun `accepted changes are in force at every instance in time and are not reverted`() {
        val report = ConfigurationExperiment(listOf(ConfigurationScenario.Size.TODAY)).run(ExperimentOptions(seed = 1))
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.figure("todayFactsExaminedP9") > 500)
        assertTrue(report.figure("todayLateInstances", "poll-object-api") > 0)
    }
}
