package io.sequoiawheel.core.claim

/** A bounded queue of pending changes; the oldest is dropped when it is full. Thread-safe. */
internal class PendingClaims(
    private val maximum: Int,
) {
    private val queue = ArrayDeque<PendingClaim>()

    val size: Int
        @Synchronized get() = queue.size

    @Synchronized
    fun add(work: PendingClaim) {
        if (queue.size >= maximum) queue.removeFirst()
        queue.addLast(work)
    }

    /** Returns the oldest completion, whose caller may ask for the outcome, else the oldest release. */
    @Synchronized
    fun first(): PendingClaim? = queue.firstOrNull { it is PendingClaim.Complete } ?: queue.firstOrNull()

    @Synchronized
    fun remove(work: PendingClaim) {
        queue.remove(work)
    }
}
