package io.sequoiawheel.core.configuration

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * A document that is to be in force everywhere, with the history of its service. It is one object, so that the
 * acceptance, its generation and its audit entry are one conditional update.
 *
 * @property generation rises by one with each accepted change of the service
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
    /** The service that this configures. */
    val service: ServiceName get() = document.service

    /** Whether the service has been ended. */
    val isTombstone: Boolean get() = document.deleted

    /** Returns the JSON text, as it is stored and relayed. */
    fun encode(): String = json.encodeToString(serializer(), this)

    companion object {
        /** Bounds the object, which must stay under the object API's limit of 1 MB. */
        const val MAXIMUM_AUDIT_ENTRIES = 50

        // Fields that a newer instance accepted are ignored, so that an older one keeps following during a replacement
        // of the fleet. Operators' documents are read strictly.
        private val json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }

        /** Reads the text of [encode]; `INTERNAL_ERROR` if it is not an accepted document. */
        fun decode(text: String): Either<Failure, AcceptedDocument> =
            Either
                .catch { json.decodeFromString(serializer(), text) }
                .mapLeft { Failure(ResultCode.INTERNAL_ERROR, "unreadable accepted document: ${it.message}") }
    }
}
