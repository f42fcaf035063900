package io.sequoiawheel.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec

/** Groups the subcommands with which operators manage service documents. */
@Command(
    name = "document",
    mixinStandardHelpOptions = true,
    description = ["Check, write, read and watch service documents, and print their status and audit trail."],
    subcommands = [
        DocumentAuditCommand::class,
        DocumentCheckCommand::class,
        DocumentGetCommand::class,
        DocumentPutCommand::class,
        DocumentStatusCommand::class,
        DocumentWatchCommand::class,
    ],
)
class DocumentCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    override fun run(): Unit = throw CommandLine.ParameterException(spec.commandLine(), "a subcommand is required")
}
