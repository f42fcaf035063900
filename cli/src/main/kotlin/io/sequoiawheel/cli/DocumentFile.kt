package io.sequoiawheel.cli

import arrow.core.getOrElse
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import java.nio.file.Path

/** Reads service documents from files. */
internal object DocumentFile {
    /** Returns the document in [file]. Throws [CommandFailure] with all faults if the document is invalid. */
    fun read(file: Path): ServiceDocument =
        DocumentCodec.decode(TextFile.read(file, ResultCode.USAGE)).getOrElse { faults ->
            val detail = faults.joinToString("\n", "$file\n") { "  ${it.path}: ${it.problem}" }
            throw CommandFailure(ResultCode.DOCUMENT_REJECTED, detail)
        }
}
