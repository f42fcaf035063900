package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import picocli.CommandLine

/** Creates the command line. Its exit codes are those of [ResultCode]. */
object CommandLineFactory {
    /** Returns a command line whose `execute` prints errors to standard error instead of throwing them. */
    fun create(): CommandLine =
        CommandLine(RootCommand())
            .setCaseInsensitiveEnumValuesAllowed(true)
            .setParameterExceptionHandler { error, _ -> handleUsageError(error) }
            .setExecutionExceptionHandler { error, commandLine, _ -> handleExecutionError(error, commandLine) }

    private fun handleUsageError(error: CommandLine.ParameterException): Int {
        val commandLine = error.commandLine
        commandLine.err.println("${ResultCode.USAGE.number} ${ResultCode.USAGE.name}: ${error.message}")
        commandLine.usage(commandLine.err)
        return ResultCode.USAGE.exitCode
    }

    private fun handleExecutionError(
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
