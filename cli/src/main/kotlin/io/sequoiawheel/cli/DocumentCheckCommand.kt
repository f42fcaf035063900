package io.sequoiawheel.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Checks a service document without any connection. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = ["Check a service document offline and print every fault with its path."],
    footer = ["", "Example: sequoiawheel document check writers.json"],
)
class DocumentCheckCommand : Runnable {
    @Parameters(paramLabel = "FILE", description = ["The document as JSON."])
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
