package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads text files named on the command line. */
internal object TextFile {
    /** Returns the text of [file]; an unreadable file ends the command with [code]. */
    fun read(
        file: Path,
        code: ResultCode,
    ): String =
        try {
            Files.readString(file)
        } catch (error: IOException) {
            throw CommandFailure(code, "cannot read $file: $error")
        }
}
