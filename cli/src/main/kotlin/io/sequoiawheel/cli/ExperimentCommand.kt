package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.Experiment
import io.sequoiawheel.experiment.ExperimentOptions
import io.sequoiawheel.experiment.ExperimentReport
import io.sequoiawheel.experiment.Experiments
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.util.Locale
import java.util.concurrent.Callable

/** Runs one experiment and prints its figures. Violated guarantees set the exit code of PROMISE_BROKEN. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = ["Run an experiment in virtual time and report violated guarantees."],
    footer = ["", "Example: sequoiawheel experiment memory-pressure --seed 7 --load 1.1 --output json"],
)
class ExperimentCommand : Callable<Int> {
    @Parameters(
        paramLabel = "NAME",
        completionCandidates = ExperimentNames::class,
        description = ["Name of the experiment: \${COMPLETION-CANDIDATES}."],
    )
    private lateinit var name: String

    @Option(names = ["--seed"], defaultValue = "1", description = ["Seed of the random numbers (default: 1)."])
    private var seed = 1L

    @Option(
        names = ["--load"],
        defaultValue = "0.9",
        description = ["Offered load as a fraction of capacity, for experiments that use it (default: 0.9)."],
    )
    private var load = 0.0

    @Mixin
    private lateinit var output: OutputOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        if (load !in MINIMUM_LOAD..MAXIMUM_LOAD) {
            throw CommandFailure(ResultCode.USAGE, "--load must be between $MINIMUM_LOAD and $MAXIMUM_LOAD")
        }
        val report = findExperiment().run(ExperimentOptions(seed, load))
        val out = spec.commandLine().out
        when (output.format) {
            OutputFormat.JSON -> out.println(json.encodeToString(report))
            OutputFormat.TABLE -> out.println(formatTable(report))
        }
        out.flush()
        return if (report.violations.isEmpty()) ResultCode.OK.exitCode else ResultCode.PROMISE_BROKEN.exitCode
    }

    private fun findExperiment(): Experiment =
        Experiments.find(name)
            ?: throw CommandFailure(
                ResultCode.USAGE,
                "unknown experiment '$name'; available: ${Experiments.all.joinToString { it.name }}",
            )

    private fun formatTable(report: ExperimentReport): String {
        val policies = report.policies.keys.toList()
        val figures =
            report.policies.values
                .flatMap { it.keys }
                .distinct()
        val rows = figures.map { figure -> listOf(figure) + policies.map { cell(report.policies[it]?.get(figure)) } }
        val parameters = report.parameters.entries.joinToString { "${it.key} ${cell(it.value)}" }
        val violationText =
            if (report.violations.isEmpty()) {
                "no violations"
            } else {
                report.violations.joinToString(
                    "\n",
                ) { "violation: $it" }
            }
        val title = "${report.experiment}, seed ${report.seed}" + if (parameters.isEmpty()) "" else ", $parameters"
        return listOf(title, TextTable.format(listOf("figure") + policies, rows), violationText).joinToString("\n")
    }

    private fun cell(value: Double?): String =
        when {
            value == null -> "-"
            value == Math.rint(value) -> String.format(Locale.ROOT, "%.0f", value)
            else -> String.format(Locale.ROOT, "%.3f", value)
        }

    /** Lists the names of all experiments for the help text and shell completion. */
    internal class ExperimentNames : Iterable<String> {
        override fun iterator(): Iterator<String> = Experiments.all.map { it.name }.iterator()
    }

    private companion object {
        // Writes an empty list of violations too, which is a default value.
        val json = Json { encodeDefaults = true }
        const val MINIMUM_LOAD = 0.05
        const val MAXIMUM_LOAD = 3.0
    }
}
