/*
 * Validates and accepts the documents that operators write. The instance that runs it holds the lease `acceptor`, but
 * correctness does not depend on the lease: each acceptance is one conditional update of `accepted/<service>`, and a
 * document is accepted only if its version is higher than that of the accepted one. A paused lease holder, a stale read
 * or a lost response can therefore neither revert an accepted change nor record it twice.
 */
package io.sequoiawheel.core.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.DocumentCodec
import io.sequoiawheel.core.model.DocumentFault
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.coroutines.delay

/**
 * Accepts or rejects service documents.
 *
 * @param wallClock milliseconds since the epoch, used only for the audit trail
 * @param holdsLease whether this instance holds the acceptor lease now; checked before each write
 * @param onAccepted called as soon as an acceptance is known, so that the document is relayed without waiting for a
 *   watch, and even if an outage of the object API begins right after the acceptance
 */
class DocumentAcceptor(
    private val api: ObjectApi,
    private val instance: InstanceId,
    private val wallClock: Clock,
    private val holdsLease: () -> Boolean,
    private val onAccepted: (AcceptedDocument) -> Unit = {},
) {
    // Document versions that are already processed, so that listing them again causes no writes.
    private val processedVersions = HashMap<ObjectKey, Long>()

    /**
     * Processes documents as they change until cancelled. Each pass lists all documents and then watches for changes;
     * without the lease it only waits.
     */
    suspend fun run() {
        while (true) {
            if (!holdsLease() || acceptAll().isLeft()) delay(RETRY_MILLIS)
        }
    }

    /** Processes every document once, then watches for changes until a call fails or the lease is lost. */
    private suspend fun acceptAll(): Either<Failure, Unit> {
        processedVersions.clear()
        var listing = api.list(ObjectKind.DOCUMENT).fold({ return it.left() }, { it })
        while (holdsLease()) {
            for (document in listing.objects) {
                accept(document).onLeft { return it.left() }
            }
            val revision = listing.revision
            listing = api.watch(ObjectKind.DOCUMENT, revision, WATCH_MILLIS).fold({ return it.left() }, { it })
        }
        return leaseLost().left()
    }

    /**
     * Accepts or rejects one document. Returns its status, or null if this instance processed the version before or a
     * later version is already accepted. Failures: `LEASE_LOST`, `PLATFORM_UNAVAILABLE`, or `DOCUMENT_CONFLICT` if
     * another acceptor wrote first; the call may then be retried.
     */
    suspend fun accept(document: StoredObject): Either<Failure, DocumentStatus?> {
        if ((processedVersions[document.key] ?: 0) >= document.version) return null.right()
        val acceptedKey = ObjectKey(ObjectKind.ACCEPTED, document.key.name)
        return readAccepted(acceptedKey)
            .flatMap { current ->
                val previous = current?.accepted
                if (previous != null && previous.documentVersion >= document.version) {
                    repeatStatus(document, previous)
                } else {
                    validate(document, previous).fold(
                        { faults -> writeStatus(status(document, previous, faults)) },
                        { parsed -> writeAccepted(document, parsed, acceptedKey, current) },
                    )
                }
            }.onRight { processedVersions[document.key] = document.version }
    }

    private fun validate(
        document: StoredObject,
        previous: AcceptedDocument?,
    ): Either<List<DocumentFault>, ServiceDocument> {
        if (document.value.length > MAXIMUM_DOCUMENT_LENGTH) {
            return listOf(DocumentFault("$", "must be at most $MAXIMUM_DOCUMENT_LENGTH characters")).left()
        }
        return DocumentCodec.decode(document.value).flatMap { parsed ->
            val faults =
                listOfNotNull(
                    DocumentFault("$.service", "must be the object's name, ${document.key.name}")
                        .takeIf { parsed.service.value != document.key.name },
                    DocumentFault("$.kind", "must not change while the service exists")
                        .takeIf { previous != null && !previous.isTombstone && previous.document.kind != parsed.kind },
                )
            if (faults.isEmpty()) parsed.right() else faults.left()
        }
    }

    private suspend fun writeAccepted(
        document: StoredObject,
        parsed: ServiceDocument,
        key: ObjectKey,
        current: StoredAcceptance?,
    ): Either<Failure, DocumentStatus?> {
        val accepted = nextAccepted(document, parsed, current?.accepted)
        if (!holdsLease()) return leaseLost().left()
        val written = api.put(key, accepted.encode(), current?.version ?: 0)
        val failure = written.leftOrNull()
        if (failure != null && !wasAccepted(key, accepted)) return failure.left()
        onAccepted(accepted)
        return writeStatus(status(document, accepted, emptyList()))
    }

    /** Reads the object back after a lost response, or after a conflict with an own write that arrived late. */
    private suspend fun wasAccepted(
        key: ObjectKey,
        accepted: AcceptedDocument,
    ): Boolean =
        readAccepted(key)
            .getOrNull()
            ?.accepted
            ?.audit
            ?.contains(accepted.audit.last()) == true

    private fun nextAccepted(
        document: StoredObject,
        parsed: ServiceDocument,
        previous: AcceptedDocument?,
    ): AcceptedDocument {
        val generation = (previous?.generation ?: 0) + 1
        val entry =
            AuditEntry(
                generation = generation,
                documentVersion = document.version,
                author = parsed.author,
                acceptedBy = instance.value,
                atEpochMillis = wallClock.nowMillis(),
                changes = DocumentDiff.between(previous?.document, parsed),
                verdict = if (parsed.deleted) "deleted" else "accepted",
            )
        val audit = previous?.audit.orEmpty() + entry
        return AcceptedDocument(
            generation,
            document.version,
            parsed,
            audit.takeLast(AcceptedDocument.MAXIMUM_AUDIT_ENTRIES),
        )
    }

    /** Writes the missing status if an acceptor stopped between accepting the document and writing its status. */
    private suspend fun repeatStatus(
        document: StoredObject,
        accepted: AcceptedDocument,
    ): Either<Failure, DocumentStatus?> =
        if (accepted.documentVersion == document.version) {
            writeStatus(status(document, accepted, emptyList()))
        } else {
            null.right()
        }

    private fun status(
        document: StoredObject,
        accepted: AcceptedDocument?,
        faults: List<DocumentFault>,
    ) = DocumentStatus(
        service = document.key.name,
        documentVersion = document.version,
        verdict =
            if (faults.isEmpty()) DocumentStatus.Verdict.ACCEPTED else DocumentStatus.Verdict.REJECTED,
        generation = accepted?.generation ?: 0,
        faults = faults,
        atEpochMillis = wallClock.nowMillis(),
    )

    /** Writes [status] unless the stored status already covers this or a later document version. */
    private suspend fun writeStatus(status: DocumentStatus): Either<Failure, DocumentStatus?> {
        val key = ObjectKey(ObjectKind.STATUS, status.service)
        val found = api.get(key)
        val failure = found.leftOrNull()
        if (failure != null && failure.code != ResultCode.OBJECT_NOT_FOUND) return failure.left()
        val current = found.getOrNull()?.let { DocumentStatus.decode(it.value).getOrNull() }
        if (current != null && current.documentVersion >= status.documentVersion) return current.right()
        if (!holdsLease()) return leaseLost().left()
        return api.put(key, status.encode(), found.getOrNull()?.version ?: 0).map { status }
    }

    private class StoredAcceptance(
        val version: Long,
        val accepted: AcceptedDocument,
    )

    private suspend fun readAccepted(key: ObjectKey): Either<Failure, StoredAcceptance?> =
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) null.right() else it.left() },
            { found -> AcceptedDocument.decode(found.value).map { StoredAcceptance(found.version, it) } },
        )

    private fun leaseLost() = Failure(ResultCode.LEASE_LOST)

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val WATCH_MILLIS = 30_000L

        // The object is limited to 1 MB; the remainder is for 50 audit entries of at most 2 KB.
        const val MAXIMUM_DOCUMENT_LENGTH = 600_000
    }
}
