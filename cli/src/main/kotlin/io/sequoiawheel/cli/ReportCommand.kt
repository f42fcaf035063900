package io.sequoiawheel.cli

import io.sequoiawheel.experiment.report.ReportPlots
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Draws the plots that the documentation shows. */
@Command(
    name = "report",
    mixinStandardHelpOptions = true,
    description = ["Run memory-pressure at several loads, measure control costs and draw the plots of docs/plots."],
    footer = ["", "Example: sequoiawheel report --directory docs/plots"],
)
class ReportCommand : Runnable {
    @Option(
        names = ["--directory"],
        paramLabel = "DIRECTORY",
        defaultValue = "docs/plots",
        description = ["Directory for the PNG files (default: docs/plots)."],
    )
    private lateinit var directory: Path

    @Option(names = ["--seed"], defaultValue = "1", description = ["Seed of the random numbers (default: 1)."])
    private var seed = 1L

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val out = spec.commandLine().out
        val plots =
            ReportPlots(directory) { line ->
                out.println(line)
                out.flush()
            }
        plots.drawMemoryPressure(seed)
        plots.drawControlCosts()
    }
}
