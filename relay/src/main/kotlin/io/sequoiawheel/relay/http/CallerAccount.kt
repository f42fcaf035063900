package io.sequoiawheel.relay.http

import io.sequoiawheel.core.memory.MemoryBudget

/**
 * The memory that one caller's connection holds: the request that is read or served, and what was received beyond it.
 * Confined to the event loop.
 */
internal class CallerAccount(
    budget: MemoryBudget,
    onEvicted: () -> Unit,
) {
    private val account = budget.open(onEvicted)
    private var requestBytes = 0L
    private var unreadBytes = 0L
    private var receivedBytes = 0L

    /** Whether a complete request is served, which may have run, so that its connection is not evicted. */
    var isServing: Boolean
        get() = !account.isEvictable
        set(value) {
            account.isEvictable = !value
        }

    /** Reserves [bytes] for the request until [releaseRequest]. */
    fun tryHoldRequest(bytes: Long): Boolean {
        val isHeld = account.tryReserve(bytes)
        if (isHeld) requestBytes += bytes
        return isHeld
    }

    /** Sets the memory of what was received and is not read yet. */
    fun tryHoldUnread(bytes: Long): Boolean {
        val added = bytes - unreadBytes
        if (added > 0 && !account.tryReserve(added)) return false
        if (added < 0) account.release(-added)
        unreadBytes = bytes
        return true
    }

    /** Records that [total] bytes were received since the connection was opened. Returns whether there are new ones. */
    fun recordReceived(total: Long): Boolean {
        val added = total - receivedBytes
        receivedBytes = total
        if (added > 0) account.recordProgress(added)
        return added > 0
    }

    /** Releases the request, which was answered. */
    fun releaseRequest() {
        account.release(requestBytes)
        requestBytes = 0
    }

    fun close() = account.close()
}
