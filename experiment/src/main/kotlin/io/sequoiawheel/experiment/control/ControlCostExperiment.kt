package io.sequoiawheel.experiment.control

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport

/**
 * Measures control costs at several sizes and computes the costs of one daemon today and at the design size. CPU times
 * and heap are measured, so they differ between runs; message sizes do not.
 */
class ControlCostExperiment : Experiment {
    override val name = "control-cost"

    override val summary = "slopes of control costs, and the costs of one daemon today and at the design size"

    override fun run(options: ExperimentOptions): ExperimentReport {
        val slopes = ControlSlopes()
        val design = ControlCost(slopes, DeploymentSize.DESIGN)
        val today = ControlCost(slopes, DeploymentSize.TODAY)
        return ExperimentReport(
            experiment = name,
            seed = options.seed,
            parameters = sizes(),
            policies =
                mapOf(
                    ExperimentReport.OWN_POLICY to prefixed("design", design.own()) + prefixed("today", today.own()),
                    "all-to-all" to prefixed("design", design.allToAll()) + prefixed("today", today.allToAll()),
                    "measured-slopes" to slopes.all.map { it.figures() }.reduce { sum, next -> sum + next },
                ),
        )
    }

    private fun sizes(): Map<String, Double> =
        mapOf(
            "reserveBytes" to MessageSizes.reserve.toDouble(),
            "releaseBytes" to MessageSizes.release.toDouble(),
            "heartbeatBytes" to MessageSizes.heartbeatBase.toDouble(),
            "heartbeatBytesPerReplica" to MessageSizes.heartbeatReplica.toDouble(),
            "compareBytes" to MessageSizes.compare.toDouble(),
        )

    private fun prefixed(
        prefix: String,
        figures: Map<String, Double>,
    ): Map<String, Double> = figures.mapKeys { (name, _) -> "$prefix.$name" }

    internal companion object {
        /** Measures every slope. */
        fun slopes(): List<Slope> = ControlSlopes().all
    }
}
