package io.sequoiawheel.cli

import picocli.CommandLine.Option

/** The option `--output`, shared by every command that prints a result. */
class OutputOptions {
    @Option(
        names = ["--output"],
        paramLabel = "FORMAT",
        defaultValue = "table",
        description = ["How to print the result: \${COMPLETION-CANDIDATES} (default: table)."],
    )
    lateinit var format: OutputFormat
}
