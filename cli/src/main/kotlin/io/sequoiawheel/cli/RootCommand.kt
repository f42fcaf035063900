package io.sequoiawheel.cli

import io.sequoiawheel.cli.demo.DemoCommand
import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec

/** The root command. It only groups subcommands. */
@Command(
    name = "sequoiawheel",
    mixinStandardHelpOptions = true,
    version = ["sequoiawheel 0.1.0"],
    description = ["Routes generations of unknown length to highly loaded model engines, and calls to plain services."],
    footer = [
        "",
        "Examples:",
        "  sequoiawheel demo",
        "  sequoiawheel stand-ins --preset kelani",
        "  sequoiawheel daemon --settings entry-a.json",
        "  sequoiawheel document check writers.json",
        "  sequoiawheel experiment memory-pressure --seed 7 --load 0.9 --output json",
        "  sequoiawheel soak --seed 7 --seconds 30",
        "  source <(sequoiawheel completion)",
    ],
    subcommands = [
        CodesCommand::class,
        CompletionCommand::class,
        DaemonCommand::class,
        RelayCommand::class,
        DemoCommand::class,
        DocumentCommand::class,
        ExperimentCommand::class,
        ReportCommand::class,
        SoakCommand::class,
        StandInsCommand::class,
    ],
)
class RootCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    override fun run(): Unit = throw CommandLine.ParameterException(spec.commandLine(), "a command is required")
}

/** Prints a completion script for bash and zsh. */
@Command(name = "completion", description = ["Print a completion script for bash and zsh."])
class CompletionCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val root = spec.root().commandLine()
        root.out.println(AutoComplete.bash(root.commandName, root))
        root.out.flush()
    }
}
