package io.sequoiawheel.core.relay

/**
 * A bounded history of changes to one kind of object, as batches ordered by revision, for readers that request all
 * changes after a revision. Confined to one thread.
 *
 * @param limit maximum number of retained changes; readers further behind must list the objects again
 */
class ChangeHistory<E>(
    private val limit: Int = DEFAULT_LIMIT,
) {
    private class Batch<E>(
        val revision: Long,
        val changes: List<E>,
    )

    private val batches = ArrayDeque<Batch<E>>()
    private var size = 0

    /** The revision after which all changes are retained. */
    var start = 0L
        private set

    /** The revision up to which the changes are known. */
    var revision = 0L
        private set

    /** Clears the history and restarts it after [revision]. */
    fun restart(revision: Long) {
        batches.clear()
        size = 0
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
        batches.addLast(Batch(revision, changes))
        size += changes.size
        while (size > limit && batches.size > 1) {
            val oldest = batches.removeFirst()
            size -= oldest.changes.size
            start = oldest.revision
        }
    }

    /**
     * Returns the changes after [revision] in order, or null if some of them are no longer retained. If [revision]
     * falls inside a batch, the whole batch is returned, so a reader may receive some of its changes twice.
     */
    fun after(revision: Long): List<E>? {
        if (revision < start) return null
        return batches.takeLastWhile { it.revision > revision }.flatMap { it.changes }
    }

    private companion object {
        /** The number of changes in ten minutes if five replicas are replaced every three seconds, two changes each. */
        const val DEFAULT_LIMIT = 2_000
    }
}
