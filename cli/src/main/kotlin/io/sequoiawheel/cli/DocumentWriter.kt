package io.sequoiawheel.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind

/** Writes service documents with conditional updates. If a response is lost, reads the document back. */
internal class DocumentWriter(
    private val api: ObjectApi,
) {
    /**
     * Writes [document] over [expectedVersion], or over the current version if that is null, and returns the new
     * version. Fails with `DOCUMENT_CONFLICT` if another writer changed the document first.
     */
    suspend fun write(
        document: ServiceDocument,
        expectedVersion: Long?,
    ): Either<Failure, Long> {
        val key = ObjectKey(ObjectKind.DOCUMENT, document.service.value)
        val version = expectedVersion ?: currentVersion(key).fold({ return it.left() }, { it })
        val text = DocumentCodec.encode(document)
        val written = api.put(key, text, version)
        if (written.leftOrNull()?.code != ResultCode.PLATFORM_UNAVAILABLE) return written
        return readBack(key, text, version)
    }

    private suspend fun currentVersion(key: ObjectKey): Either<Failure, Long> =
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) 0L.right() else it.left() },
            { it.version.right() },
        )

    private suspend fun readBack(
        key: ObjectKey,
        text: String,
        version: Long,
    ): Either<Failure, Long> =
        api.get(key).fold(
            { Failure(ResultCode.PLATFORM_UNAVAILABLE, "the write got no response and could not be read back").left() },
            { found ->
                when {
                    found.value == text && found.version > version -> found.version.right()
                    found.version == version ->
                        Failure(
                            ResultCode.PLATFORM_UNAVAILABLE,
                            "the write did not take effect",
                        ).left()
                    else -> Failure(ResultCode.DOCUMENT_CONFLICT).left()
                }
            },
        )
}
