package io.sequoiawheel.core.model

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads and writes service documents as strict JSON: unknown fields are errors, and defaults are written out. */
object DocumentCodec {
    private val json =
        Json {
            prettyPrint = true
            encodeDefaults = true
        }

    /** Returns the document in [text] if it parses and [DocumentValidator] finds no faults, else the faults. */
    fun decode(text: String): Either<List<DocumentFault>, ServiceDocument> {
        val document =
            try {
                json.decodeFromString(ServiceDocument.serializer(), text)
            } catch (error: SerializationException) {
                return listOf(DocumentFault.ofParseError(error)).left()
            } catch (error: IllegalArgumentException) {
                return listOf(DocumentFault.ofParseError(error)).left()
            }
        val faults = DocumentValidator.validate(document)
        return if (faults.isEmpty()) document.right() else faults.left()
    }

    /** Returns the JSON text of [document]. */
    fun encode(document: ServiceDocument): String = json.encodeToString(ServiceDocument.serializer(), document)
}
