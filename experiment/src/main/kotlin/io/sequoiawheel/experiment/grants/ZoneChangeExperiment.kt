package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** Takes a zone out of service at short notice and returns it to service. */
class ZoneChangeExperiment : Experiment {
    override val name = "zone-change"
    override val summary = "A zone is taken out and comes back; no request fails that had somewhere to go."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val scenario =
            Scenario(options, DURATION_MILLIS) { service ->
                service.loop.schedule(
                    TAKE_OUT_MILLIS + PROPAGATION_DELAY_MILLIS,
                ) { service.setZoneOutOfService(ZONE, true) }
                service.loop.schedule(
                    RETURN_MILLIS + PROPAGATION_DELAY_MILLIS,
                ) { service.setZoneOutOfService(ZONE, false) }
            }
        val runs = scenario.run()
        return ExperimentReport(
            name,
            options.seed,
            mapOf("load" to options.load, "requestsPerSecond" to scenario.ratePerSecond),
            runs.mapValues { figures(it.value) },
            violations(runs.getValue(ExperimentReport.OWN_POLICY)),
        )
    }

    private fun figures(run: ScenarioRun): Map<String, Double> =
        run.measures.figures() +
            run.phaseFigures("before", WARM_UP_MILLIS..TAKE_OUT_MILLIS) +
            run.phaseFigures("during", TAKE_OUT_MILLIS..RETURN_MILLIS) +
            run.phaseFigures("after", RETURN_MILLIS..DURATION_MILLIS) +
            mapOf(
                "lastNewWorkAfterTakeOutMillis" to lastNewWorkMillis(run),
                "firstNewWorkAfterReturnMillis" to firstNewWorkMillis(run),
                "refusedWithRoom" to run.refusedDespiteCapacity.toDouble(),
            )

    private fun dispatchesIntoZone(run: ScenarioRun) = run.dispatches.filter { it.replica.zone == ZONE }

    private fun lastNewWorkMillis(run: ScenarioRun): Double =
        dispatchesIntoZone(run).lastOrNull { it.atMillis in TAKE_OUT_MILLIS..RETURN_MILLIS }?.let {
            it.atMillis -
                TAKE_OUT_MILLIS
        }
            ?: 0.0

    private fun firstNewWorkMillis(run: ScenarioRun): Double =
        dispatchesIntoZone(run).firstOrNull { it.atMillis > RETURN_MILLIS }?.let { it.atMillis - RETURN_MILLIS } ?: -1.0

    private fun violations(run: ScenarioRun): List<String> {
        val last = lastNewWorkMillis(run)
        val failed = run.requests.count { it.state == SimulatedRequest.State.FAILED }
        return listOfNotNull(
            "new work reached the zone $last ms after it was taken out".takeIf { last > NEW_WORK_LIMIT_MILLIS },
            "$failed requests failed although no replica did".takeIf { failed > 0 },
            "${run.refusedDespiteCapacity} requests were refused although a replica had room".takeIf {
                run.refusedDespiteCapacity > 0
            },
        )
    }

    private companion object {
        const val ZONE = "colombo-b"
        const val WARM_UP_MILLIS = 60_000.0
        const val TAKE_OUT_MILLIS = 120_000.0
        const val RETURN_MILLIS = 200_000.0
        const val DURATION_MILLIS = 300_000.0

        /** Delay from the operator's change until it is in force at all entry instances. */
        const val PROPAGATION_DELAY_MILLIS = 2_000.0

        /** Limit for "after a few seconds" in promise P3. */
        const val NEW_WORK_LIMIT_MILLIS = 5_000.0
    }
}
