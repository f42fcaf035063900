package io.sequoiawheel.standin.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/**
 * The stored objects. The version of an object is the store's revision at its last write, so a version is never reused,
 * not even after a deletion. Keeps the latest versions of each object to serve stale reads. Thread-safe.
 */
internal class VersionedObjects(
    private val clock: Clock,
) {
    private class Entry(
        val writtenAtMillis: Long,
        val version: Long,
        val value: String?,
    )

    private val histories = HashMap<ObjectKind, LinkedHashMap<String, ArrayDeque<Entry>>>()
    private val lastChanges = ObjectKind.entries.associateWith { MutableStateFlow(0L) }
    private var revision = 0L

    @Volatile
    var onWrite: (ObjectKey, Long, String?) -> Unit = { _, _, _ -> }

    fun lastChange(kind: ObjectKind): StateFlow<Long> = lastChanges.getValue(kind)

    @Synchronized
    fun get(
        key: ObjectKey,
        staleMillis: Long,
    ): Either<Failure, StoredObject> =
        findVisible(histories[key.kind]?.get(key.name), staleMillis)?.toObject(key)?.right()
            ?: Failure(ResultCode.OBJECT_NOT_FOUND, "no object ${key.kind.path}/${key.name}").left()

    @Synchronized
    fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long> {
        if (value.length > MAXIMUM_VALUE_LENGTH) return Failure(ResultCode.BODY_TOO_LARGE).left()
        return write(key, value, expectedVersion)
    }

    @Synchronized
    fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit> {
        if (currentVersion(key) == 0L) return Failure(ResultCode.OBJECT_NOT_FOUND).left()
        return write(key, null, expectedVersion).map { }
    }

    /** Returns the objects of [kind] that changed after revision [after], in their state of [staleMillis] ago. */
    @Synchronized
    fun list(
        kind: ObjectKind,
        after: Long,
        staleMillis: Long,
    ): ObjectListing {
        val objects =
            histories[kind].orEmpty().mapNotNull { (name, history) ->
                findVisible(history, staleMillis)?.takeIf { it.version > after }?.toObject(ObjectKey(kind, name))
            }
        val listedRevision = if (staleMillis > 0) maxOf(after, objects.maxOfOrNull { it.version } ?: 0L) else revision
        return ObjectListing(listedRevision, objects.toImmutableList())
    }

    private fun write(
        key: ObjectKey,
        value: String?,
        expectedVersion: Long,
    ): Either<Failure, Long> {
        val current = currentVersion(key)
        if (current != expectedVersion) {
            val detail = "${key.kind.path}/${key.name} has version $current, expected $expectedVersion"
            return Failure(ResultCode.DOCUMENT_CONFLICT, detail).left()
        }
        revision++
        val history = histories.getOrPut(key.kind) { LinkedHashMap() }.getOrPut(key.name) { ArrayDeque() }
        history.addLast(Entry(clock.nowMillis(), revision, value))
        if (history.size > MAXIMUM_HISTORY) history.removeFirst()
        lastChanges.getValue(key.kind).value = revision
        onWrite(key, revision, value)
        return revision.right()
    }

    private fun currentVersion(key: ObjectKey): Long =
        histories[key.kind]
            ?.get(key.name)
            ?.last()
            ?.takeIf { it.value != null }
            ?.version ?: 0L

    private fun findVisible(
        history: ArrayDeque<Entry>?,
        staleMillis: Long,
    ): Entry? = history?.lastOrNull { staleMillis == 0L || it.writtenAtMillis <= clock.nowMillis() - staleMillis }

    private fun Entry.toObject(key: ObjectKey): StoredObject? = value?.let { StoredObject(key, version, it) }

    private companion object {
        const val MAXIMUM_VALUE_LENGTH = 1_000_000
        const val MAXIMUM_HISTORY = 16
    }
}
