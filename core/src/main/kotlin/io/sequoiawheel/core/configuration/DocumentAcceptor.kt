/*
 * Turns operators' documents into accepted ones. Its holder has the lease `acceptor`, but correctness does not rest on
 * the lease: each acceptance is one conditional update of `accepted/<service>`, and a document is accepted only if its
 * version is higher than the accepted one's. A paused holder, a stale read or a lost answer can therefore neither
 * revert an accepted change nor record it twice.
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
 * @param wallClock milliseconds since the epoch, for the audit trail only
 * @param mayAct whether this instance holds the acceptor lease now; asked before each write
 * @param onAccepted told of each acceptance as soon as it is known, so that its spreading need not wait for a watch and
 *   survives an outage of the object API that begins right after it
 */
class DocumentAcceptor(
    private val api: ObjectApi,
    private val instance: InstanceId,
    private val wallClock: Clock,
    private val mayAct: () -> Boolean,
    private val onAccepted: (AcceptedDocument) -> Unit = {},
) {
    // Versions that need no further work, so that a relisting costs no writes.
    private val judged = HashMap<ObjectKey, Long>()

    /**
     * Judges documents as they change until cancelled. Every pass begins with a complete listing, then waits for
     * changes; without the lease it only waits.
     */
    suspend fun run() {
        while (true) {
            if (!mayAct() || acceptAll().isLeft()) delay(RETRY_MILLIS)
        }
    }

    /** Judges every document once, then follows changes until a call fails or the lease is gone. */
    private suspend fun acceptAll(): Either<Failure, Unit> {
        judged.clear()
        var listing = api.list(ObjectKind.DOCUMENT).fold({ return it.left() }, { it })
        while (mayAct()) {
            for (document in listing.objects) {
                accept(document).onLeft { return it.left() }
            }
            val revision = listing.revision
            listing = api.watch(ObjectKind.DOCUMENT, revision, WATCH_MILLIS).fold({ return it.left() }, { it })
        }
        return leaseLost().left()
    }

    /**
     * Judges one document. Returns its status, which is the earlier one if it had been judged before. Failures:
     * `LEASE_LOST`, `PLATFORM_UNAVAILABLE`, or `DOCUMENT_CONFLICT` if another acceptor was first; try again then.
     */
    suspend fun accept(document: StoredObject): Either<Failure, DocumentStatus?> {
        if ((judged[document.key] ?: 0) >= document.version) return null.right()
        val acceptedKey = ObjectKey(ObjectKind.ACCEPTED, document.key.name)
        return readAccepted(acceptedKey)
            .flatMap { current ->
                val previous = current?.accepted
                if (previous != null && previous.documentVersion >= document.version) {
                    alreadyAccepted(document, previous)
                } else {
                    judge(document, previous).fold(
                        { faults -> writeStatus(status(document, previous, faults)) },
                        { parsed -> writeAccepted(document, parsed, acceptedKey, current) },
                    )
                }
            }.onRight { judged[document.key] = document.version }
    }

    private fun judge(
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
        current: Current?,
    ): Either<Failure, DocumentStatus?> {
        val accepted = next(document, parsed, current?.accepted)
        if (!mayAct()) return leaseLost().left()
        val written = api.put(key, accepted.encode(), current?.version ?: 0)
        val failure = written.leftOrNull()
        if (failure != null && !tookEffect(key, accepted)) return failure.left()
        onAccepted(accepted)
        return writeStatus(status(document, accepted, emptyList()))
    }

    /** Reads back after a lost answer or a conflict with an own write that arrived late. */
    private suspend fun tookEffect(
        key: ObjectKey,
        accepted: AcceptedDocument,
    ): Boolean =
        readAccepted(key)
            .getOrNull()
            ?.accepted
            ?.audit
            ?.contains(accepted.audit.last()) == true

    private fun next(
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
                changes = DocumentDifference.between(previous?.document, parsed),
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

    /** Repeats the status of an acceptance whose acceptor stopped between its two writes. */
    private suspend fun alreadyAccepted(
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

    /** Writes [status] unless the object already tells of this or a later version. */
    private suspend fun writeStatus(status: DocumentStatus): Either<Failure, DocumentStatus?> {
        val key = ObjectKey(ObjectKind.STATUS, status.service)
        val found = api.get(key)
        val failure = found.leftOrNull()
        if (failure != null && failure.code != ResultCode.OBJECT_NOT_FOUND) return failure.left()
        val current = found.getOrNull()?.let { DocumentStatus.decode(it.value).getOrNull() }
        if (current != null && current.documentVersion >= status.documentVersion) return current.right()
        if (!mayAct()) return leaseLost().left()
        return api.put(key, status.encode(), found.getOrNull()?.version ?: 0).map { status }
    }

    private class Current(
        val version: Long,
        val accepted: AcceptedDocument,
    )

    private suspend fun readAccepted(key: ObjectKey): Either<Failure, Current?> =
        api.get(key).fold(
            { if (it.code == ResultCode.OBJECT_NOT_FOUND) null.right() else it.left() },
            { found -> AcceptedDocument.decode(found.value).map { Current(found.version, it) } },
        )

    private fun leaseLost() = Failure(ResultCode.LEASE_LOST)

    private companion object {
        const val RETRY_MILLIS = 1_000L
        const val WATCH_MILLIS = 30_000L

        // Leaves room for 50 audit entries of at most 2 KB in an object of at most 1 MB.
        const val MAXIMUM_DOCUMENT_LENGTH = 600_000
    }
}
