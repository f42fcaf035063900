package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import picocli.CommandLine

/** Builds the command line with the exit codes of the result-code table. */
object CommandLineFactory {
    /** Returns a command line that prints errors to standard error and never throws from `execute`. */
    fun create(): CommandLine =
        CommandLine(RootCommand())
            .setCaseInsensitiveEnumValuesAllowed(true)
            .setParameterExceptionHandler { error, _ -> reportUsage(error) }
            .setExecutionExceptionHandler { error, commandLine, _ -> reportFailure(error, commandLine) }

    private fun reportUsage(error: CommandLine.ParameterException): Int {
        val commandLine = error.commandLine
        commandLine.err.println("${ResultCode.USAGE.number} ${ResultCode.USAGE.name}: ${error.message}")
        commandLine.usage(commandLine.err)
        return ResultCode.USAGE.exitCode
    }

    private fun reportFailure(
        error: Exception,
        commandLine: CommandLine,
    ): Int {
        val failure = (error as? CommandFailure)?.failure
        val code = failure?.code ?: ResultCode.INTERNAL_ERROR
        val detail = failure?.detail ?: error.toString()
        commandLine.err.println("${code.number} ${code.name} (${code.work.label}): $detail")
        return code.exitCode
    }
}
