package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.relay.http.CallerServer
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.delay

/**
 * Shuts an instance down. Confined to the event loop.
 *
 * @param graceMillis returns the time from the signal until the process is killed, less what it needs to exit
 */
internal class InstanceShutdown(
    private val clock: Clock,
    private val log: DecisionLog,
    private val graceMillis: () -> Long,
) {
    private var startMillis: Long? = null
    private var isComplete = false
    private var readSinceStart = 0

    val isLeaving: Boolean get() = startMillis != null

    /** Returns the time until the process exits, or null if it is not shutting down. */
    fun remainingMillis(): Long? = startMillis?.let { it + graceMillis() - clock.nowMillis() }

    /** Announces that the instance shuts down, so that it is no longer ready. */
    fun start(
        connections: Int,
        inProgress: Int,
    ) {
        startMillis = clock.nowMillis()
        log.lifecycle("leaving", mapOf("connections" to connections, "inProgress" to inProgress))
    }

    /** Called for each request that was read. */
    fun onRequestRead() {
        if (isLeaving) readSinceStart++
        if (isComplete) log.lifecycle("request read after the shutdown was complete", emptyMap())
    }

    /** Returns when the requests in progress have ended or the grace period is over. */
    suspend fun complete(
        server: CallerServer,
        requests: RequestService,
    ) {
        val start = checkNotNull(startMillis)
        while (clock.nowMillis() - start < graceMillis()) {
            val isDrained = clock.nowMillis() - start >= BALANCER_REMOVAL_MILLIS && requests.inProgress == 0
            if (isDrained) break
            delay(DRAIN_POLL_MILLIS)
        }
        server.stop()
        isComplete = true
        log.lifecycle(
            "stopped",
            mapOf(
                "connections" to server.connectionCount,
                "readSinceSignal" to readSinceStart,
                "unanswered" to requests.recordUnfinished(),
            ),
        )
    }

    private companion object {
        /** The load balancer checks readiness once a second and removes an instance after two failed checks. */
        const val BALANCER_REMOVAL_MILLIS = 2_600L
        const val DRAIN_POLL_MILLIS = 50L
    }
}
