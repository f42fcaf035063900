package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.soak.SoakLayout
import io.sequoiawheel.soak.SoakOptions
import io.sequoiawheel.soak.SoakRun
import io.sequoiawheel.soak.SoakSummary
import io.sequoiawheel.soak.history.Promise
import io.sequoiawheel.soak.plan.FaultKind
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable

/** Runs entry instances as processes under faults. Broken promises set the exit code of PROMISE_BROKEN. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = ["Run entry instances as processes under seeded faults, and check what callers and replicas saw."],
    footer = [
        "",
        "Examples:",
        "  sequoiawheel soak --seed 7 --seconds 30",
        "  sequoiawheel soak --seed 7 --seconds 30 --faults SHUTDOWN,PAUSE --output json",
        "  sequoiawheel soak --seed 7 --seconds 30 --site manjadi-ho --faults SECOND_ANSWER,STUBBORN_SOURCE",
    ],
)
class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], defaultValue = "1", description = ["Seed of plan and callers (default: 1)."])
    private var seed = 1L

    @Option(names = ["--seconds"], defaultValue = "30", description = ["Duration of the run (default: 30)."])
    private var seconds = 0

    @Option(
        names = ["--site"],
        paramLabel = "SITE",
        description = ["Deployment with streams that move: basket-desk or manjadi-ho. Sets instances and replicas."],
    )
    private var site: String? = null

    @Option(names = ["--instances"], defaultValue = "5", description = ["Number of instances (default: 5)."])
    private var instances = 0

    @Option(names = ["--callers"], defaultValue = "24", description = ["Number of callers (default: 24)."])
    private var callers = 0

    @Option(
        names = ["--replicas"],
        defaultValue = "3",
        description = ["Replicas of each of the two services (default: 3)."],
    )
    private var replicas = 0

    @Option(
        names = ["--faults"],
        split = ",",
        paramLabel = "KIND",
        description = ["Kinds of faults: \${COMPLETION-CANDIDATES} (default: all)."],
    )
    private var kinds: List<FaultKind>? = null

    @Option(names = ["--program"], paramLabel = "JAR", description = ["Entry program to run instead of this build."])
    private var program: Path? = null

    @Option(names = ["--directory"], paramLabel = "DIR", description = ["Where logs and findings are written."])
    private var directory: Path? = null

    @Mixin
    private lateinit var output: OutputOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        requireRange("--seconds", seconds, 1..MAXIMUM_SECONDS)
        requireRange("--instances", instances, 1..MAXIMUM_INSTANCES)
        requireRange("--callers", callers, 0..MAXIMUM_CALLERS)
        requireRange("--replicas", replicas, 1..MAXIMUM_REPLICAS)
        val options =
            SoakOptions(
                seed,
                seconds,
                directory ?: Path.of("target", "soak", "seed-$seed-${ProcessHandle.current().pid()}"),
                layout(),
                callers,
                program = program,
                kinds = kinds ?: FaultKind.entries,
            )
        val commandLine = spec.commandLine()
        val report = SoakRun(options) { commandLine.err.println(it) }.use { it.run() }
        report.write()
        val summary = report.summary()
        when (output.format) {
            OutputFormat.JSON -> commandLine.out.println(json.encodeToString(summary))
            OutputFormat.TABLE -> commandLine.out.println(formatTables(summary))
        }
        commandLine.out.flush()
        return if (summary.violations.isEmpty()) ResultCode.OK.exitCode else ResultCode.PROMISE_BROKEN.exitCode
    }

    private fun layout(): SoakLayout {
        val name = site ?: return SoakLayout.plain(instances, replicas)
        return SoakLayout.SITES[name]
            ?: throw CommandFailure(ResultCode.USAGE, "--site must be one of ${SoakLayout.SITES.keys.joinToString()}")
    }

    private fun requireRange(
        name: String,
        value: Int,
        range: IntRange,
    ) {
        if (value !in range) throw CommandFailure(ResultCode.USAGE, "$name must be in $range")
    }

    private fun formatTables(summary: SoakSummary): String {
        val promises =
            Promise.entries.map { listOf(it.name, "${summary.tested[it] ?: 0}", "${summary.broken[it] ?: 0}") }
        val faults = summary.faults.map { (kind, count) -> listOf(kind.name, count.toString()) }
        return listOf(
            "seed ${summary.seed}, ${summary.program}, calls ${summary.calls}",
            TextTable.format(listOf("promise", "tested", "broken"), promises),
            TextTable.format(listOf("fault", "count"), faults),
            "excused losses ${summary.excused}",
            "runs continued ${summary.continued}, second answers ${summary.secondAnswers}",
            summary.violations.take(SHOWN_VIOLATIONS).joinToString("\n") {
                "${it.promise} ${it.requestId} ${it.instance} at ${it.atMillis} ms: ${it.detail}"
            },
            "files in ${summary.directory}",
        ).filter { it.isNotEmpty() }.joinToString("\n")
    }

    private companion object {
        val json = Json { encodeDefaults = true }
        const val MAXIMUM_SECONDS = 3_600
        const val MAXIMUM_INSTANCES = 40
        const val MAXIMUM_CALLERS = 400
        const val MAXIMUM_REPLICAS = 20
        const val SHOWN_VIOLATIONS = 20
    }
}
