package io.sequoiawheel.relay.backend

import io.sequoiawheel.core.memory.MemoryAccount
import io.sequoiawheel.core.memory.MemoryBudget
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.relay.internal.RelayMetrics

/** Why the connection of a caller that reads too slowly was closed; the labels are those of the metric. */
internal enum class SlowReaderReason(
    val label: String,
) {
    /** The memory for responses was used up, and the caller read least for the bytes that were held for it. */
    MEMORY("memory"),

    /** The caller read too little of a complete response within the time limit. */
    STALLED("stalled"),
}

/**
 * What is held for one caller connection. Bodies of calls have an account of their own, so that streams that nobody
 * reads cannot take the memory for them.
 *
 * @property buffers parts received from replicas, and the write buffer
 * @property bodies bodies of calls, which are received whole before they are written
 */
internal class CallerAccounts(
    val buffers: MemoryAccount,
    val bodies: MemoryAccount,
) {
    /** Records that the caller has read [bytes]. */
    fun recordRead(bytes: Long) {
        buffers.recordProgress(bytes)
        bodies.recordProgress(bytes)
    }

    /** Releases everything. May be called more than once. */
    fun close() {
        buffers.close()
        bodies.close()
    }
}

/**
 * The memory that an instance holds of responses that their callers have not read, over all caller connections. The
 * callers that read least for their bytes are closed first. Confined to the event loop.
 *
 * @param totalBytes bound on the buffers, and on the bodies, of all callers together
 * @param onClosed called for each connection that is closed, with the reason, the bytes of its write buffer and those
 *   that are held for all callers
 */
internal class ResponseMemory(
    clock: Clock,
    totalBytes: Long = totalBytes(grantedBytes = null),
    private val onClosed: (SlowReaderReason, Long, Long) -> Unit = { _, _, _ -> },
) {
    private val buffers = MemoryBudget(totalBytes, NEWCOMER_BYTES, clock)
    private val bodies = MemoryBudget(totalBytes, NEWCOMER_BYTES, clock)

    /** Bytes that are held for all callers together. */
    val heldBytes: Long get() = buffers.heldBytes + bodies.heldBytes

    /** The most that may be held for all callers together. */
    val totalBytes: Long get() = buffers.totalBytes + bodies.totalBytes

    /** Number of open accounts; each caller connection has two. */
    val accountCount: Int get() = buffers.accountCount + bodies.accountCount

    /** Opens the accounts of a connection, which the connection closes at its end. */
    fun open(onEvicted: () -> Unit) = CallerAccounts(buffers.open(onEvicted), bodies.open(onEvicted))

    /** Records that a connection with [writeBufferBytes] in its write buffer is closed. */
    fun recordClosed(
        reason: SlowReaderReason,
        writeBufferBytes: Long,
    ) = onClosed(reason, writeBufferBytes, heldBytes)

    /** Registers the gauges of what is held. */
    fun publishGauges(metrics: RelayMetrics) {
        metrics.gauge("response.memory.bytes") { heldBytes }
        metrics.gauge("response.memory.limit.bytes") { totalBytes }
        metrics.gauge("response.memory.accounts") { accountCount }
    }

    companion object {
        /** A caller that holds less is closed only if it is slow; an ordinary stream or response is smaller. */
        private const val NEWCOMER_BYTES = 131_072L

        /**
         * One eighth of the heap, since buffers grow by doubling and a body is copied once more when it is complete. At
         * the heap of deploy/system.toml, three quarters of it still hold the largest body that is relayed.
         */
        private const val HEAP_SHARE = 8L

        /** Leaves room for the system's buffers of the same connections, which count towards the process too. */
        private const val GRANTED_SHARE = 16L

        /** Returns the total for a process that may use [grantedBytes] of memory, or any if null. */
        fun totalBytes(grantedBytes: Long?): Long =
            minOf(Runtime.getRuntime().maxMemory() / HEAP_SHARE, (grantedBytes ?: Long.MAX_VALUE) / GRANTED_SHARE)
    }
}
