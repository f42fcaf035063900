package io.sequoiawheel.cli

import arrow.core.getOrElse
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads service documents from files. */
internal object DocumentFile {
    /** Returns the valid document in [file]; throws [CommandFailure] with every fault otherwise. */
    fun read(file: Path): ServiceDocument =
        DocumentCodec.decode(text(file)).getOrElse { faults ->
            val detail = faults.joinToString("\n", "$file\n") { "  ${it.path}: ${it.problem}" }
            throw CommandFailure(ResultCode.DOCUMENT_REJECTED, detail)
        }

    private fun text(file: Path): String =
        try {
            Files.readString(file)
        } catch (error: IOException) {
            throw CommandFailure(ResultCode.USAGE, "cannot read $file: $error")
        }
}
