package io.sequoiawheel.core.claim

/** A bounded queue of pending writes; a full queue drops its oldest entry. Thread-safe. */
internal class PendingClaimWrites(
    private val maximum: Int,
) {
    private val queue = ArrayDeque<PendingClaimWrite>()

    val size: Int
        @Synchronized get() = queue.size

    @Synchronized
    fun add(write: PendingClaimWrite) {
        if (queue.size >= maximum) queue.removeFirst()
        queue.addLast(write)
    }

    /** Returns the oldest completion, because its caller may query the outcome, or else the oldest release. */
    @Synchronized
    fun next(): PendingClaimWrite? = queue.firstOrNull { it is PendingClaimWrite.Complete } ?: queue.firstOrNull()

    @Synchronized
    fun remove(write: PendingClaimWrite) {
        queue.remove(write)
    }
}
