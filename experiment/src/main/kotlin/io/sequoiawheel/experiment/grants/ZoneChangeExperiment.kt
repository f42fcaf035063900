package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.SimulatedRequest

/** A zone is taken out of service at short notice and comes back. */
class ZoneChangeExperiment : Experiment {
    override val name = "zone-change"
    override val summary = "A zone is taken out and comes back; no request fails that had somewhere to go."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val scenario =
            Scenario(options, DURATION_MILLIS) { service ->
                service.loop.schedule(OUT_MILLIS + IN_FORCE_MILLIS) { service.setZoneOut(ZONE, true) }
                service.loop.schedule(BACK_MILLIS + IN_FORCE_MILLIS) { service.setZoneOut(ZONE, false) }
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
            run.phase("before", WARM_MILLIS..OUT_MILLIS) +
            run.phase("during", OUT_MILLIS..BACK_MILLIS) +
            run.phase("after", BACK_MILLIS..DURATION_MILLIS) +
            mapOf(
                "lastNewWorkAfterTakeOutMillis" to lastNewWork(run),
                "firstNewWorkAfterReturnMillis" to firstNewWork(run),
                "refusedWithRoom" to run.refusedWithRoom.toDouble(),
            )

    private fun intoZone(run: ScenarioRun) = run.dispatches.filter { it.replica.zone == ZONE }

    private fun lastNewWork(run: ScenarioRun): Double =
        intoZone(run).lastOrNull { it.atMillis in OUT_MILLIS..BACK_MILLIS }?.let { it.atMillis - OUT_MILLIS } ?: 0.0

    private fun firstNewWork(run: ScenarioRun): Double =
        intoZone(run).firstOrNull { it.atMillis > BACK_MILLIS }?.let { it.atMillis - BACK_MILLIS } ?: -1.0

    private fun violations(run: ScenarioRun): List<String> {
        val last = lastNewWork(run)
        val failed = run.requests.count { it.state == SimulatedRequest.State.FAILED }
        return listOfNotNull(
            "new work reached the zone $last ms after it was taken out".takeIf { last > NO_NEW_WORK_MILLIS },
            "$failed requests failed although no replica did".takeIf { failed > 0 },
            "${run.refusedWithRoom} requests were refused although a replica had room".takeIf {
                run.refusedWithRoom > 0
            },
        )
    }

    private companion object {
        const val ZONE = "colombo-b"
        const val WARM_MILLIS = 60_000.0
        const val OUT_MILLIS = 120_000.0
        const val BACK_MILLIS = 200_000.0
        const val DURATION_MILLIS = 300_000.0

        /** From the operator's change until it is in force at all entry instances. */
        const val IN_FORCE_MILLIS = 2_000.0

        /** "After a few seconds" of promise P3. */
        const val NO_NEW_WORK_MILLIS = 5_000.0
    }
}
