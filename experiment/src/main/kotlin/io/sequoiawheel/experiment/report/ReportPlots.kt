/*
 * Draws the plots of the documentation: figures of `memory-pressure` by load, and the measured slopes of control costs.
 */
package io.sequoiawheel.experiment.report

import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.Experiments
import io.sequoiawheel.experiment.control.ControlCostExperiment
import java.nio.file.Files
import java.nio.file.Path

/**
 * Writes plots to a directory.
 *
 * @param progress receives one line per completed step
 */
class ReportPlots(
    private val directory: Path,
    private val progress: (String) -> Unit,
) {
    /** Runs `memory-pressure` at several loads with [seed] and draws stall time, preemptions and tail gaps. */
    fun drawMemoryPressure(seed: Long) {
        val experiment = checkNotNull(Experiments.find(MEMORY_PRESSURE)) { "there is no $MEMORY_PRESSURE" }
        val reports = LOADS.associateWith { load -> runAt(experiment, seed, load) }
        figures.forEach { figure -> draw(figure, reports) }
    }

    /** Measures the slopes of control costs and draws one plot for each. */
    fun drawControlCosts() {
        ControlCostExperiment.slopes().forEach { slope ->
            val fit = listOf(slope.points.first(), slope.points.last()).map { LinePlot.Point(it.x, slope.at(it.x)) }
            write(
                "control-${slope.name}.png",
                LinePlot(
                    title = slope.name,
                    xTitle = slope.per,
                    yTitle = slope.name,
                    series = mapOf("measured" to slope.points, "fit" to fit),
                ),
            )
        }
    }

    private fun runAt(
        experiment: Experiment,
        seed: Long,
        load: Double,
    ): ExperimentReport = experiment.run(ExperimentOptions(seed, load)).also { progress("$MEMORY_PRESSURE at $load") }

    private fun draw(
        figure: Figure,
        reports: Map<Double, ExperimentReport>,
    ) {
        val policies =
            reports.values
                .first()
                .policies.keys
        val series =
            policies.associateWith { policy ->
                reports.map { (load, report) ->
                    LinePlot.Point(load, figure.value(report.policies.getValue(policy)))
                }
            }
        write(
            figure.file,
            LinePlot(figure.title, "load (share of capacity)", figure.unit, series, figure.isLogarithmic),
        )
    }

    private fun write(
        name: String,
        plot: LinePlot,
    ) {
        Files.createDirectories(directory)
        plot.write(directory.resolve(name))
        progress("wrote $name")
    }

    private class Figure(
        val file: String,
        val title: String,
        val unit: String,
        val isLogarithmic: Boolean,
        private val name: String,
        private val factor: Double = 1.0,
    ) {
        // A logarithmic axis cannot show zero, so every value is raised by one unit.
        fun value(figures: Map<String, Double>): Double {
            val value = figures.getValue(name) * factor
            return if (isLogarithmic) value + 1 else value
        }
    }

    private companion object {
        const val MEMORY_PRESSURE = "memory-pressure"
        const val SECONDS_PER_MILLI = 0.001
        val LOADS = listOf(0.6, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2)
        val figures =
            listOf(
                Figure("stall.png", "Total stall time", "seconds + 1", true, "stallTotalMillis", SECONDS_PER_MILLI),
                Figure("preemptions.png", "Preemptions", "preemptions + 1", true, "preemptions"),
                Figure("gap-p99.png", "Time between tokens, p99", "ms", false, "gapP99Millis"),
                Figure("goodput.png", "Goodput", "tokens per second", false, "goodputTokensPerSecond"),
            )
    }
}
