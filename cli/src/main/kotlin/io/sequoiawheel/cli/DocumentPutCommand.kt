package io.sequoiawheel.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Validates a service document offline, then writes it. */
@Command(
    name = "put",
    mixinStandardHelpOptions = true,
    description = [
        "Validate a service document and write it with a conditional update.",
        "It comes into force after an entry daemon has accepted it; see 'document status'.",
    ],
    footer = ["", "Example: sequoiawheel document put writers.json --platform http://127.0.0.1:7000"],
)
class DocumentPutCommand : Runnable {
    @Parameters(paramLabel = "FILE", description = ["Document file in JSON."])
    private lateinit var file: Path

    @Option(
        names = ["--expected-version"],
        paramLabel = "VERSION",
        description = ["Version to replace; 0 for a new document (default: the current version)."],
    )
    private var expectedVersion: Long? = null

    @Mixin
    private lateinit var platform: PlatformOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val document = DocumentFile.read(file)
        val version = platform.use { DocumentWriter(it).write(document, expectedVersion) }.orThrow()
        val out = spec.commandLine().out
        out.println("${document.service}: version $version written")
        out.flush()
    }
}
