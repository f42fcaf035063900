package io.sequoiawheel.cli

import io.sequoiawheel.core.configuration.AuditEntry
import io.sequoiawheel.core.configuration.ConfigurationReader
import io.sequoiawheel.core.model.ServiceName
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.time.Instant

/** Prints the audit trail of a service: its accepted changes. */
@Command(
    name = "audit",
    mixinStandardHelpOptions = true,
    description = ["Print the last 50 accepted changes of a service document: author, time and difference."],
    footer = ["", "Example: sequoiawheel document audit wheel-writers --platform http://127.0.0.1:7000"],
)
class DocumentAuditCommand : Runnable {
    @Parameters(paramLabel = "SERVICE", description = ["Name of the service."])
    private lateinit var service: String

    @Mixin
    private lateinit var platform: PlatformOptions

    @Mixin
    private lateinit var output: OutputOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val entries = platform.use { ConfigurationReader(it).audit(ServiceName(service)) }.orThrow()
        val out = spec.commandLine().out
        when (output.format) {
            OutputFormat.JSON -> out.println(Json.encodeToString(entries))
            OutputFormat.TABLE -> out.println(TextTable.format(header, entries.map(::toRow)))
        }
        out.flush()
    }

    private fun toRow(entry: AuditEntry): List<String> =
        listOf(
            entry.generation.toString(),
            Instant.ofEpochMilli(entry.atEpochMillis).toString(),
            entry.author,
            entry.verdict,
            entry.changes.joinToString("; "),
        )

    private companion object {
        val header = listOf("generation", "time", "author", "verdict", "changes")
    }
}
