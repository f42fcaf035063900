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
 * Sends tokens to one caller as server-sent events. The response starts with the first accepted event, so that a
 * refusal before that still has its HTTP status. The channel's fixed buffer and the socket's are all that is buffered
 * for the caller.
 *
 * @param acceptedEvent builds the accepted event
 */
internal class StreamSink(
    private val acceptedEvent: (Instance, RequestId) -> String,
    private val onFirstToken: () -> Unit,
) : GenerationSink {
    /** Completed when the response has to start. */
    val started = CompletableDeferred<Unit>()
    private val channel = CompletableDeferred<ByteWriteChannel>()

    override var delivered = false
        private set

    /** Connects the sink with the response. */
    fun attach(response: ByteWriteChannel) {
        channel.complete(response)
    }

    /** Lets writes fail because the response ended with [error]. */
    fun detach(error: Exception) {
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
        // Set before the write: a write that fails half-way may have delivered the token.
        delivered = true
        write(TokenEvents.token(offset, text))
    }

    override fun onRestart() = Unit

    /** Sends the last event. */
    suspend fun finish(event: String) = write(event)

    private suspend fun write(text: String) {
        try {
            val target = channel.await()
            target.writeStringUtf8(text)
            target.flush()
        } catch (error: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw CallerDisconnectedException(error)
        } catch (error: Exception) {
            throw CallerDisconnectedException(error)
        }
    }
}
