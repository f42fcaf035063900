package io.sequoiawheel.core.relay

/**
 * A bounded history of changes to one kind of object, as batches ordered by revision, for readers that request all
 * changes after a revision. Confined to one thread.
 *
 * Changes differ in size by orders of magnitude, so the history is bounded by their memory and not by their number.
 *
 * @param limitBytes maximum total size of the retained changes; readers further behind must list the objects again
 * @param sizeOf returns the memory that a change occupies, in bytes
 * @param objectOf returns the object that a change replaces or deletes as a whole; readers get its latest change only
 */
class ChangeHistory<E>(
    private val limitBytes: Long,
    private val sizeOf: (E) -> Long,
    private val objectOf: (E) -> Any,
) {
    private class Batch<E>(
        val revision: Long,
        val changes: List<E>,
        val sizeBytes: Long,
    )

    private val batches = ArrayDeque<Batch<E>>()

    /** Total size of the retained changes, in bytes. */
    var sizeBytes = 0L
        private set

    /** The revision after which all changes are retained. */
    var start = 0L
        private set

    /** The revision up to which the changes are known. */
    var revision = 0L
        private set

    /** Clears the history and restarts it after [revision]. */
    fun restart(revision: Long) {
        batches.clear()
        sizeBytes = 0
        start = revision
        this.revision = revision
    }

    /** Appends the [changes] since the last batch, which completes the history up to [revision]. */
    fun append(
        revision: Long,
        changes: List<E>,
    ) {
        this.revision = maxOf(this.revision, revision)
        if (changes.isEmpty()) return
        val batch = Batch(revision, changes, changes.sumOf(sizeOf))
        batches.addLast(batch)
        sizeBytes += batch.sizeBytes
        while (sizeBytes > limitBytes) {
            val oldest = batches.removeFirst()
            sizeBytes -= oldest.sizeBytes
            start = oldest.revision
        }
    }

    /** Returns whether there are changes after [revision], or whether some may be missing from the history. */
    fun hasAfter(revision: Long): Boolean =
        revision < start || batches.lastOrNull()?.let { it.revision > revision } == true

    /**
     * Returns the latest change of each object after [revision] in order, or null if some changes are no longer
     * retained. If [revision] falls inside a batch, the whole batch counts, so a reader may receive some of its changes
     * twice. Earlier changes of an object are left out, since a series of large ones to many readers occupies the link
     * of this instance for seconds.
     */
    fun after(revision: Long): List<E>? {
        if (revision < start) return null
        val changes = batches.takeLastWhile { it.revision > revision }.flatMap { it.changes }
        return changes.asReversed().distinctBy(objectOf).asReversed()
    }
}
