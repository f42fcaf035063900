/*
 * The interface to the platform's object API. Implementations call it over HTTP, or keep all objects in memory for
 * tests and experiments. Every call can fail, be slow, or lose its response after the write has taken effect.
 */
package io.sequoiawheel.core.platform

import arrow.core.Either
import io.sequoiawheel.core.model.Failure
import kotlinx.collections.immutable.ImmutableList

/**
 * Stores versioned objects. Each call counts against the platform's call budget; a waiting watch counts as one call.
 *
 * Failures: `PLATFORM_UNAVAILABLE` if there was no answer, in which case a write may have taken effect;
 * `DOCUMENT_CONFLICT` if the expected version did not match; `OBJECT_NOT_FOUND` if a read finds nothing.
 */
interface ObjectApi {
    /** Returns the current object. */
    suspend fun get(key: ObjectKey): Either<Failure, StoredObject>

    /** Returns all objects of [kind] with the revision at which they were read. */
    suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing>

    /**
     * Writes [value] if the object's version equals [expectedVersion]; 0 requires that the object does not exist.
     * Returns the new version.
     */
    suspend fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long>

    /** Deletes the object if its version equals [expectedVersion]. */
    suspend fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit>

    /** Waits up to [waitMillis] for changes of [kind] after [revision]; an empty listing means that there were none. */
    suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
    ): Either<Failure, ObjectListing>
}

/** The kinds of objects that the system keeps in the object API. */
enum class ObjectKind(
    val path: String,
) {
    DOCUMENT("document"),
    ACCEPTED("accepted"),
    STATUS("status"),
    IN_FORCE("in-force"),
    LEASE("lease"),
    CLAIM("claim"),
    ORDER("order"),
}

/** The name of one object. [name] is safe in a URL path segment. */
data class ObjectKey(
    val kind: ObjectKind,
    val name: String,
)

/** An object as read: [version] increases with each write of this object, [value] is its JSON text of at most 1 MB. */
data class StoredObject(
    val key: ObjectKey,
    val version: Long,
    val value: String,
)

/** Objects of one kind, complete up to [revision] of the store. */
data class ObjectListing(
    val revision: Long,
    val objects: ImmutableList<StoredObject>,
)
