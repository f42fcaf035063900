package io.sequoiawheel.relay.http

import io.netty.channel.Channel
import java.util.concurrent.TimeUnit

/**
 * Stops accepting connections on [listener] while no further one may be added, so that callers wait in the backlog
 * until an open connection has ended. A caller that was closed instead could not tell this from a failure, and after a
 * crowd has left, its connections still count until the instance notices. Confined to the event loop.
 */
internal class AcceptPause(
    private val listener: Channel,
    private val connections: CallerConnections,
) {
    private var isCheckScheduled = false

    /** Whether new connections wait in the backlog. */
    var isPaused = false
        private set

    /** Number of pauses so far. */
    var count = 0L
        private set

    /** Adapts to the present connections. */
    fun update() {
        val wasPaused = isPaused
        isPaused = !connections.mayAdd()
        // Netty resumes accepting by itself a second after a failed attempt, also while this pause lasts.
        if (isPaused || wasPaused) listener.config().isAutoRead = !isPaused
        if (!isPaused) return
        if (!wasPaused) count++
        if (isCheckScheduled) return
        isCheckScheduled = true
        listener.eventLoop().schedule(
            {
                isCheckScheduled = false
                update()
            },
            CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private companion object {
        /** An open connection may be closed for another one as soon as it is idle or slow for long enough. */
        const val CHECK_INTERVAL_MILLIS = 100L
    }
}
