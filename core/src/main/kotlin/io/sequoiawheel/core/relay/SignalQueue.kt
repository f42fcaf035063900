package io.sequoiawheel.core.relay

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * An unbounded queue with a timed receive. A signal that arrives just as the timeout expires is not lost, as it could
 * be if the timeout cancelled the receiver.
 */
class SignalQueue<T : Any> {
    private val channel = Channel<T>(Channel.UNLIMITED)

    /** The sending side of the queue. */
    val sender: SendChannel<T> get() = channel

    /** Returns the next signal, or null if none arrives within [millis]. */
    suspend fun receiveWithin(millis: Long): T? =
        select {
            channel.onReceive { it }
            onTimeout(millis) { null }
        }
}
