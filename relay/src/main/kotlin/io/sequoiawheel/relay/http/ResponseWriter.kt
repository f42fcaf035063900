package io.sequoiawheel.relay.http

import io.netty.buffer.ByteBufHolder
import io.netty.channel.Channel
import io.sequoiawheel.relay.backend.CallerAccounts
import io.sequoiawheel.relay.backend.ResponseMemory
import io.sequoiawheel.relay.backend.SlowReaderReason
import io.sequoiawheel.relay.backend.reset
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Writes responses to a caller, and counts what the caller has not read yet towards its account. A caller whose account
 * has no room is sent one piece at a time. If its account is evicted, the connection is reset, which cancels the
 * request and thereby ends its run at the replica.
 */
internal class ResponseWriter(
    private val channel: Channel,
    private val memory: ResponseMemory,
) {
    private var change = CompletableDeferred<Unit>()
    private var isOverdrawn = false

    /** Bytes in the write buffer. */
    var pendingBytes = 0L
        private set

    /** The accounts of what is held for the caller. */
    val accounts: CallerAccounts = memory.open { close(SlowReaderReason.MEMORY) }

    /** Whether the caller has read so much that more may be written. */
    private val hasRoom: Boolean get() = if (isOverdrawn) pendingBytes == 0L else channel.isWritable

    fun write(message: Any) {
        val bytes = MESSAGE_BYTES + ((message as? ByteBufHolder)?.content()?.readableBytes() ?: 0)
        val isReserved = accounts.buffers.tryReserve(bytes)
        if (!isReserved) isOverdrawn = true
        pendingBytes += bytes
        channel.writeAndFlush(message).addListener {
            pendingBytes -= bytes
            if (isReserved) accounts.buffers.release(bytes)
            if (it.isSuccess) accounts.recordRead(bytes)
            if (pendingBytes == 0L) isOverdrawn = false
            wake()
        }
    }

    /** Waits until more may be written, or the connection is closed. */
    suspend fun awaitRoom() = awaitChange { hasRoom }

    /**
     * Waits like [awaitRoom], for [READ_TIMEOUT_MILLIS] at most. Closes the connection and returns false if the caller
     * read too little in this time. Returns false also if the caller closed the connection.
     */
    suspend fun awaitProgress(): Boolean {
        withTimeoutOrNull(READ_TIMEOUT_MILLIS) { awaitRoom() }
        if (!hasRoom) close(SlowReaderReason.STALLED)
        return channel.isActive
    }

    /** Waits like [awaitProgress] until everything was sent. */
    suspend fun awaitSent(): Boolean {
        while (pendingBytes > 0 && channel.isActive) {
            val target = (pendingBytes - PROGRESS_BYTES).coerceAtLeast(0)
            withTimeoutOrNull(READ_TIMEOUT_MILLIS) { awaitChange { pendingBytes <= target } }
            if (pendingBytes > target) close(SlowReaderReason.STALLED)
        }
        return channel.isActive
    }

    /** Resets the connection of a caller that reads too slowly. Has no effect on a closed connection. */
    private fun close(reason: SlowReaderReason) {
        if (!channel.isActive) return
        memory.recordClosed(reason, pendingBytes)
        channel.reset()
    }

    /** Ends all waits and closes the account, when the connection has ended. */
    fun end() {
        accounts.close()
        wake()
    }

    /** Ends the waits of [awaitRoom] that have become unnecessary. */
    fun wake() {
        change.complete(Unit)
    }

    private suspend fun awaitChange(isReached: () -> Boolean) {
        while (!isReached() && channel.isActive) {
            if (change.isCompleted) change = CompletableDeferred()
            change.await()
        }
    }

    private companion object {
        /** Time in which a caller that still wants its response reads [PROGRESS_BYTES]. */
        const val READ_TIMEOUT_MILLIS = 10_000L

        /** The distance of the water marks of the write buffer. */
        const val PROGRESS_BYTES = 49_152L

        /** Memory of a message and its buffers without the content. */
        const val MESSAGE_BYTES = 512L
    }
}
