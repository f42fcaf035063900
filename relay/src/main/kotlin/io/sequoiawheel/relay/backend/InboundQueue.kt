package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import java.io.IOException
import kotlinx.coroutines.channels.Channel as CoroutineChannel

/** Thrown when the connection ended before the message was complete. [isReset] distinguishes a reset from a close. */
internal class ConnectionEndedException(
    message: String,
    val isReset: Boolean,
) : IOException(message)

/**
 * Passes decoded messages from a Netty handler to a coroutine on the same event loop. Applies backpressure: reading
 * from the socket pauses while too many bytes are queued.
 */
internal class InboundQueue {
    private val messages = CoroutineChannel<HttpObject>(CoroutineChannel.UNLIMITED)
    private var queuedBytes = 0L
    private var channel: Channel? = null
    private var waiter: CompletableDeferred<Unit>? = null

    /** The reset or error that ended the connection, or null. */
    var failure: Throwable? = null
        private set

    /** Whether the queue holds unread messages. */
    val hasUnread: Boolean get() = !messages.isEmpty

    /** Whether the queue is open and holds no unread messages. */
    val isIdle: Boolean get() = messages.isEmpty && !messages.isClosedForReceive

    fun attach(channel: Channel) {
        this.channel = channel
    }

    fun offer(message: HttpObject) {
        queuedBytes += sizeOf(message)
        if (messages.trySend(message).isFailure) ReferenceCountUtil.release(message)
        wake()
        if (queuedBytes > PAUSE_BYTES) channel?.config()?.isAutoRead = false
    }

    /** Waits until there is a message to [receive], the queue is closed, or [wake] is called. */
    suspend fun awaitMessage() {
        if (isIdle) CompletableDeferred<Unit>().also { waiter = it }.await()
    }

    /** Ends a wait for a message. */
    fun wake() {
        waiter?.complete(Unit)
        waiter = null
    }

    suspend fun receive(): HttpObject {
        val message =
            try {
                messages.receive()
            } catch (closed: ClosedReceiveChannelException) {
                throw ConnectionEndedException(failure?.message ?: "connection closed", failure != null)
            }
        queuedBytes -= sizeOf(message)
        if (queuedBytes <= PAUSE_BYTES / 2) channel?.config()?.let { if (!it.isAutoRead) it.isAutoRead = true }
        return message
    }

    /** Closes the queue. Messages received before can still be read; after them, [receive] throws. */
    fun close(cause: Throwable? = null) {
        if (cause != null && failure == null) failure = cause
        messages.close()
        wake()
    }

    /** Closes the queue and releases the unread messages. */
    fun discard() {
        messages.close()
        while (true) {
            ReferenceCountUtil.release(messages.tryReceive().getOrNull() ?: return)
        }
    }

    private fun sizeOf(message: HttpObject): Int {
        val content: ByteBuf = (message as? HttpContent)?.content() ?: return 0
        return content.readableBytes()
    }

    private companion object {
        /** Reading from the socket pauses above this number of queued bytes, and resumes at half of it. */
        const val PAUSE_BYTES = 131_072
    }
}
