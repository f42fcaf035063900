package io.sequoiawheel.experiment.grants

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Crashes engines without notice and reclaims engines at short notice. */
class EngineLossExperiment : Experiment {
    override val name = "engine-loss"
    override val summary = "Engines die and are reclaimed; requests without a token move to other engines."

    override fun run(options: ExperimentOptions): ExperimentReport {
        val scenario = Scenario(options, DURATION_MILLIS) { injectFaults(it) }
        val runs = scenario.run()
        return ExperimentReport(
            name,
            options.seed,
            mapOf("load" to options.load, "requestsPerSecond" to scenario.ratePerSecond),
            runs.mapValues { figures(it.value) },
            violations(runs.getValue(ExperimentReport.OWN_POLICY)),
        )
    }

    private fun injectFaults(service: SimulatedService) {
        KILLS.forEach { (at, index) -> service.loop.schedule(at) { service.kill(service.replicas[index]) } }
        RECLAIMS.forEach { (at, index) ->
            val replica = service.replicas[index]
            service.loop.schedule(at) { service.leave(replica) }
            service.loop.schedule(at + NOTICE_MILLIS) { service.kill(replica) }
            service.loop.schedule(at + NOTICE_MILLIS + REPLACEMENT_MILLIS) { service.join(replica) }
        }
    }

    private fun figures(run: ScenarioRun): Map<String, Double> =
        run.measures.figures() +
            mapOf(
                "failedWithoutToken" to failedWithoutToken(run).toDouble(),
                "interrupted" to run.requests.count { isFailed(it) && it.produced > 0 }.toDouble(),
                "lastWorkAfterNoticeMillis" to lastWorkAfterNotice(run),
                "refusedWithRoom" to run.refusedDespiteCapacity.toDouble(),
            )

    private fun isFailed(request: SimulatedRequest) = request.state == SimulatedRequest.State.FAILED

    private fun failedWithoutToken(run: ScenarioRun) = run.requests.count { isFailed(it) && it.produced == 0 }

    private fun lastWorkAfterNotice(run: ScenarioRun): Double =
        RECLAIMS.maxOf { (at, index) ->
            val span = at..at + NOTICE_MILLIS + REPLACEMENT_MILLIS
            val last = run.dispatches.lastOrNull { it.replica.index == index && it.atMillis in span }
            last?.let { it.atMillis - at } ?: 0.0
        }

    private fun violations(run: ScenarioRun): List<String> {
        val failed = failedWithoutToken(run)
        val last = lastWorkAfterNotice(run)
        return listOfNotNull(
            "$failed requests failed before their first token although other replicas lived".takeIf { failed > 0 },
            "a leaving replica got new work $last ms after its notice".takeIf { last > NEW_WORK_LIMIT_MILLIS },
            "${run.refusedDespiteCapacity} requests were refused although a replica had room".takeIf {
                run.refusedDespiteCapacity > 0
            },
        )
    }

    private companion object {
        const val DURATION_MILLIS = 300_000.0
        const val NOTICE_MILLIS = 30_000.0
        const val REPLACEMENT_MILLIS = 20_000.0

        /** Limit for "after a few seconds" in promise P7. */
        const val NEW_WORK_LIMIT_MILLIS = 5_000.0

        /** Engine crashes without notice: time in milliseconds and replica index. */
        val KILLS = listOf(80_000.0 to 1, 140_000.0 to 6, 141_000.0 to 2)

        /** Reclaim notices: time in milliseconds and replica index. */
        val RECLAIMS = listOf(100_000.0 to 0, 180_000.0 to 7)
    }
}
