package io.sequoiawheel.cli

/** Output format of a command's result. */
enum class OutputFormat {
    /** Human-readable text with aligned columns. */
    TABLE,

    /** A single JSON value. */
    JSON,
}
