package io.sequoiawheel.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Writes a service document after checking it offline. */
@Command(
    name = "put",
    mixinStandardHelpOptions = true,
    description = [
        "Check a service document and write it by conditional update.",
        "It is in force once an entry daemon has accepted it; see 'document status'.",
    ],
    footer = ["", "Example: sequoiawheel document put writers.json --platform http://127.0.0.1:7000"],
)
class DocumentPutCommand : Runnable {
    @Parameters(paramLabel = "FILE", description = ["The document as JSON."])
    private lateinit var file: Path

    @Option(
        names = ["--expected-version"],
        paramLabel = "VERSION",
        description = ["Write only over this version; 0 for a new document (default: whatever is current)."],
    )
    private var expectedVersion: Long? = null

    @Mixin
    private lateinit var platform: PlatformOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val document = DocumentFile.read(file)
        val version = platform.use { DocumentWriter(it).write(document, expectedVersion) }.orFail()
        val out = spec.commandLine().out
        out.println("${document.service}: version $version written")
        out.flush()
    }
}
