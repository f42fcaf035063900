package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads text files given on the command line. */
internal object TextFile {
    /** Returns the content of [file]. Throws [CommandFailure] with [code] if the file cannot be read. */
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
