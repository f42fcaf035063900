package io.sequoiawheel.core.relay

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * An unbounded queue whose reader also wakes up when nothing arrives. A signal that arrives at the very end of the wait
 * is not lost, as it could be if a timeout cancelled the reader.
 */
class SignalQueue<T : Any> {
    private val channel = Channel<T>(Channel.UNLIMITED)

    /** Where signals are sent. */
    val sender: SendChannel<T> get() = channel

    /** Returns the next signal, or null if none arrives within [millis]. */
    suspend fun receiveWithin(millis: Long): T? =
        select {
            channel.onReceive { it }
            onTimeout(millis) { null }
        }
}
