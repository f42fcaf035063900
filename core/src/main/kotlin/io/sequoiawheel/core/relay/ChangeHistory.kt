package io.sequoiawheel.core.relay

/**
 * The newest changes of one kind of object, as batches in the order of their revisions, for readers that ask for all
 * changes after a revision. Confined to one thread.
 *
 * @param limit changes that are kept; readers further behind have to list the objects anew
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

    /** The revision after which all changes are kept. */
    var start = 0L
        private set

    /** The revision up to which the changes are known. */
    var revision = 0L
        private set

    /** Forgets all changes and starts after [revision]. */
    fun restart(revision: Long) {
        batches.clear()
        size = 0
        start = revision
        this.revision = revision
    }

    /** Adds the [changes] since the last batch; all up to [revision] are known then. */
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
     * Returns the changes after [revision] in their order, or null if some of them are no longer kept. A batch that
     * [revision] falls into comes whole, so that its changes may be seen again.
     */
    fun after(revision: Long): List<E>? {
        if (revision < start) return null
        return batches.takeLastWhile { it.revision > revision }.flatMap { it.changes }
    }

    private companion object {
        /** A fleet that replaces five replicas every three seconds makes as many changes in ten minutes. */
        const val DEFAULT_LIMIT = 2_000
    }
}
