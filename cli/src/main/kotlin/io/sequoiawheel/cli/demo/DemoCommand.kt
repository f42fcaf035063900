package io.sequoiawheel.cli.demo

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Runs the demo and exits with its result code. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = [
        "Run both deployments in this process, inject failures and check every guarantee.",
        "The last line of standard output is one JSON object.",
    ],
    footer = ["", "Example: sequoiawheel demo"],
)
class DemoCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int = Demo(spec.commandLine().out).run().exitCode
}
