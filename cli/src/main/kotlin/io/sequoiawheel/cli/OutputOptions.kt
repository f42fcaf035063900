package io.sequoiawheel.cli

import picocli.CommandLine.Option

/** The option `--output`, shared by the commands that print a result. */
class OutputOptions {
    @Option(
        names = ["--output"],
        paramLabel = "FORMAT",
        defaultValue = "table",
        description = ["Output format: \${COMPLETION-CANDIDATES} (default: table)."],
    )
    lateinit var format: OutputFormat
}
