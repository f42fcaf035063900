package io.sequoiawheel.cli

/** How a command prints its result. */
enum class OutputFormat {
    /** Aligned columns for people. */
    TABLE,

    /** One JSON value for programs. */
    JSON,
}
