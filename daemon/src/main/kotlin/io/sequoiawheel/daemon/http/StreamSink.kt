package io.sequoiawheel.daemon.http

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.serving.CallerDisconnectedException
import io.sequoiawheel.core.serving.GenerationSink
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/**
 * Sends tokens to one caller as server-sent events. The response starts only with the accepted event, so an earlier
 * failure can still set the HTTP status. No data is buffered for the caller beyond the fixed buffers of the channel and
 * the socket.
 *
 * @param acceptedEvent builds the accepted event
 */
internal class StreamSink(
    private val acceptedEvent: (Instance, RequestId) -> String,
    private val onFirstToken: () -> Unit,
) : GenerationSink {
    /** Completed when the generation is accepted and the response must start. */
    val started = CompletableDeferred<Unit>()
    private val channel = CompletableDeferred<ByteWriteChannel>()

    override var delivered = false
        private set

    /** Sets the channel of the response; writes wait for it. */
    fun attach(response: ByteWriteChannel) {
        channel.complete(response)
    }

    /** Makes writes that wait for [attach] fail with [error]. */
    fun fail(error: Exception) {
        channel.completeExceptionally(error)
    }

    override suspend fun onAccepted(
        replica: Instance,
        generation: RequestId,
    ) {
        started.complete(Unit)
        write(acceptedEvent(replica, generation))
    }

    override suspend fun onToken(
        offset: Int,
        text: String,
    ) {
        if (!delivered) onFirstToken()
        // Set before the write, because a failed write may still have delivered the token.
        delivered = true
        write(ServerSentEvents.token(offset, text))
    }

    override fun onRestart() = Unit

    /** Sends the last event. */
    suspend fun finish(event: String) = write(event)

    private suspend fun write(text: String) {
        try {
            val response = channel.await()
            response.writeStringUtf8(text)
            response.flush()
        } catch (error: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw CallerDisconnectedException(error)
        } catch (error: Exception) {
            throw CallerDisconnectedException(error)
        }
    }
}
