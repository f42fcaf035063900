package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * An accepted service document with the audit trail of its service. Both are one object, so that a single conditional
 * update accepts the document, assigns its generation and appends the audit entry.
 *
 * @property generation increases by one with each accepted change of the service
 * @property documentVersion version of the operators' document that was accepted
 * @property audit the last [MAXIMUM_AUDIT_ENTRIES] accepted changes, oldest first
 */
@Serializable
data class AcceptedDocument(
    val generation: Long,
    val documentVersion: Long,
    val document: ServiceDocument,
    val audit: List<AuditEntry>,
) {
    /** The service that the document configures. */
    val service: ServiceName get() = document.service

    /** Whether the document deletes the service. */
    val isTombstone: Boolean get() = document.deleted

    /** Returns the JSON text that is stored and relayed. */
    fun encode(): String = json.encodeToString(serializer(), this)

    companion object {
        /** Limits the size of the object, which must stay under the object API's limit of 1 MB. */
        const val MAXIMUM_AUDIT_ENTRIES = 50

        // Unknown fields are ignored, so that an older instance still applies documents that a newer one accepted
        // during a rolling upgrade. Documents from operators are parsed strictly.
        private val json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }

        /** Parses the output of [encode]; fails with `INTERNAL_ERROR` if [text] is not an accepted document. */
        fun decode(text: String): Either<Failure, AcceptedDocument> =
            Either
                .catch { json.decodeFromString(serializer(), text) }
                .mapLeft { Failure(ResultCode.INTERNAL_ERROR, "unreadable accepted document: ${it.message}") }
    }
}
