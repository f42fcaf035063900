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

    /** Guards against a broken promise under faults in twos, and against faults too mild to break a baseline. */
    @Test
    fun `at-most-once holds with claims and breaks without them`() {
        val report = AtMostOnceExperiment().run(ExperimentOptions(seed = 1))
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.figure("factsExaminedP6") > 1_000)
        assertTrue(report.figure("callsRunTwiceOrMore", "no-claims") > 0)
    }

    /** Guards against a change that is late, reverted or unaudited, and against faults too mild to delay a baseline. */
    @Test
    fun `accepted changes are in force everywhere in time and stay`() {
        val report = ConfigurationExperiment(listOf(ConfigurationScenario.Size.TODAY)).run(ExperimentOptions(seed = 1))
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.figure("todayFactsExaminedP9") > 500)
        assertTrue(report.figure("todayLateInstances", "poll-object-api") > 0)
    }
}
