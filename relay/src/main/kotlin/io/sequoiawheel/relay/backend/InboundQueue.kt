package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import java.io.IOException
import kotlinx.coroutines.channels.Channel as Mailbox

/** The connection ended before the message did. [isReset] tells a reset from an orderly end. */
internal class ConnectionEndedException(
    message: String,
    val isReset: Boolean,
) : IOException(message)

/**
 * Hands decoded messages from a Netty handler to a coroutine on the same event loop. Reading from the socket pauses
 * while more than a bounded number of bytes waits.
 */
internal class InboundQueue {
    private val mailbox = Mailbox<HttpObject>(Mailbox.UNLIMITED)
    private var waitingBytes = 0L
    private var channel: Channel? = null

    /** Whether a reset or a failure ended the connection. */
    var failure: Throwable? = null
        private set

    /** Whether messages wait that nobody has read. */
    val hasWaiting: Boolean get() = !mailbox.isEmpty

    fun attach(channel: Channel) {
        this.channel = channel
    }

    fun offer(message: HttpObject) {
        waitingBytes += sizeOf(message)
        if (mailbox.trySend(message).isFailure) ReferenceCountUtil.release(message)
        if (waitingBytes > PAUSE_BYTES) channel?.config()?.isAutoRead = false
    }

    suspend fun receive(): HttpObject {
        val message =
            try {
                mailbox.receive()
            } catch (closed: ClosedReceiveChannelException) {
                throw ConnectionEndedException(failure?.message ?: "connection closed", failure != null)
            }
        waitingBytes -= sizeOf(message)
        if (waitingBytes <= PAUSE_BYTES / 2) channel?.config()?.let { if (!it.isAutoRead) it.isAutoRead = true }
        return message
    }

    /** Ends the queue; what was received before stays readable unless the connection failed. */
    fun end(cause: Throwable? = null) {
        if (cause != null && failure == null) failure = cause
        mailbox.close()
    }

    /** Releases everything that nobody will read. */
    fun discard() {
        mailbox.close()
        while (true) {
            ReferenceCountUtil.release(mailbox.tryReceive().getOrNull() ?: return)
        }
    }

    private fun sizeOf(message: HttpObject): Int {
        val content: ByteBuf = (message as? HttpContent)?.content() ?: return 0
        return content.readableBytes()
    }

    private companion object {
        /** Bytes that may wait for a slow reader before the socket is paused. */
        const val PAUSE_BYTES = 131_072
    }
}
