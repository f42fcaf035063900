package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec

/** Prints the table of result codes. */
@Command(
    name = "codes",
    mixinStandardHelpOptions = true,
    description = ["Print every result code with its HTTP status, its exit code and whether the work ran."],
    footer = ["", "Example: sequoiawheel codes --output json"],
)
class CodesCommand : Runnable {
    @Mixin
    private lateinit var output: OutputOptions

    @Option(names = ["--markdown"], description = ["Print the table as Markdown, as in docs/result-codes.md."])
    private var markdown = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val out = spec.commandLine().out
        when {
            markdown -> out.println(ResultCodeTable.markdown())
            output.format == OutputFormat.JSON -> out.println(Json.encodeToString(ResultCode.entries.map(::toRow)))
            else -> out.println(ResultCodeTable.text())
        }
    }

    private fun toRow(code: ResultCode): ResultCodeRow =
        ResultCodeRow(code.number, code.name, code.work.label, code.httpStatus, code.exitCode, code.meaning)

    /** One element of the JSON array. */
    @Serializable
    internal data class ResultCodeRow(
        val code: Int,
        val name: String,
        val work: String,
        val httpStatus: Int,
        val exitCode: Int,
        val meaning: String,
    )
}
