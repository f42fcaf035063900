package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException

/** Thrown when the connection ended before the message was complete. [isReset] distinguishes a reset from a close. */
internal class ConnectionEndedException(
    message: String,
    val isReset: Boolean,
) : IOException(message)

/**
 * Passes decoded messages from a Netty handler to a coroutine on the same event loop. Applies backpressure: reading
 * from the socket pauses while the queued messages occupy too much memory. Small parts of a body that are not read yet
 * are merged, so that they cost no more than their bytes.
 *
 * @param pauseBytes reading pauses above this memory of the queued messages, and resumes at half of it
 * @param overhead returns the memory of a message without its content
 */
internal class InboundQueue(
    private val pauseBytes: Int = PAUSE_BYTES,
    private val overhead: (HttpObject) -> Int = ::ordinaryOverhead,
) {
    private val messages = ArrayDeque<HttpObject>()

    /** Memory of the queued messages. */
    var queuedBytes = 0L
        private set
    private var channel: Channel? = null
    private var waiter: CompletableDeferred<Unit>? = null
    private var isClosed = false

    /** The buffer of the last message in the queue if further parts of the body may be appended to it, or null. */
    private var merged: ByteBuf? = null

    /** The reset or error that ended the connection, or null. */
    var failure: Throwable? = null
        private set

    /** Whether reading from the socket is paused. */
    val isPaused: Boolean get() = channel?.config()?.isAutoRead == false

    /** Whether the queue holds unread messages. */
    val hasUnread: Boolean get() = messages.isNotEmpty()

    /** Whether the queue is open and holds no unread messages. */
    val isIdle: Boolean get() = messages.isEmpty() && !isClosed

    fun attach(channel: Channel) {
        this.channel = channel
    }

    /** Adds [message] and takes over its reference. */
    fun offer(message: HttpObject) {
        if (isClosed) {
            ReferenceCountUtil.release(message)
            return
        }
        val part = message as? HttpContent
        if (part != null && isMergeable(part)) {
            merge(part)
        } else {
            merged = null
            enqueue(message)
        }
        wake()
        if (queuedBytes > pauseBytes) channel?.config()?.isAutoRead = false
    }

    private fun isMergeable(part: HttpContent): Boolean =
        part !is LastHttpContent &&
            part !is HttpMessage &&
            part.decoderResult().isSuccess &&
            part.content().readableBytes() <= MERGED_PART_BYTES

    private fun merge(part: HttpContent) {
        val size = part.content().readableBytes()
        val last = merged?.takeIf { messages.isNotEmpty() && it.readableBytes() + size <= MERGED_BYTES }
        if (last == null) {
            val buffer = Unpooled.buffer(INITIAL_MERGED_BYTES).writeBytes(part.content())
            enqueue(DefaultHttpContent(buffer))
            merged = buffer
        } else {
            last.writeBytes(part.content())
            queuedBytes += size
        }
        part.release()
    }

    private fun enqueue(message: HttpObject) {
        queuedBytes += sizeOf(message)
        messages.addLast(message)
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

    /**
     * Returns the next message. After the last one, throws the [InvalidResponseException] for which the connection was
     * closed here, or [ConnectionEndedException] if the peer ended it.
     */
    suspend fun receive(): HttpObject {
        while (isIdle) awaitMessage()
        val message =
            messages.removeFirstOrNull()
                ?: throw endOfMessages()
        if (messages.isEmpty()) merged = null
        queuedBytes -= sizeOf(message)
        if (queuedBytes <= pauseBytes / 2) channel?.config()?.let { if (!it.isAutoRead) it.isAutoRead = true }
        return message
    }

    private fun endOfMessages(): IOException =
        failure as? InvalidResponseException
            ?: ConnectionEndedException(failure?.message ?: "connection closed", failure != null)

    /** Closes the queue. Messages received before can still be read; after them, [receive] throws. */
    fun close(cause: Throwable? = null) {
        if (cause != null && failure == null) failure = cause
        isClosed = true
        wake()
    }

    /** Closes the queue and releases the unread messages. */
    fun discard() {
        isClosed = true
        merged = null
        messages.forEach(ReferenceCountUtil::release)
        messages.clear()
        queuedBytes = 0
        wake()
    }

    private fun sizeOf(message: HttpObject): Int =
        overhead(message) + ((message as? HttpContent)?.content()?.readableBytes() ?: 0)

    private companion object {
        /** Reading from the socket pauses above this memory of the queued messages, and resumes at half of it. */
        const val PAUSE_BYTES = 65_536

        /** Memory of a message and its buffer without the content. */
        const val MESSAGE_BYTES = 256

        /** Memory of the status line and the headers of an ordinary head. */
        const val HEAD_BYTES = 1_024

        fun ordinaryOverhead(message: HttpObject): Int =
            if (message is HttpContent) MESSAGE_BYTES else MESSAGE_BYTES + HEAD_BYTES

        /** Larger parts are not copied. */
        const val MERGED_PART_BYTES = 1_024
        const val MERGED_BYTES = 8_192
        const val INITIAL_MERGED_BYTES = 1_024
    }
}
