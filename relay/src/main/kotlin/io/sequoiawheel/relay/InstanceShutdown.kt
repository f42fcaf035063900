package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.ShutdownPlan
import io.sequoiawheel.core.relay.ShutdownStage
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
    private var plan: ShutdownPlan? = null
    private var isComplete = false
    private var readSinceStart = 0

    val isLeaving: Boolean get() = plan != null

    /** Returns the time until the process exits, or null if it is not shutting down. */
    fun remainingMillis(): Long? = plan?.remainingMillis(clock.nowMillis())

    /** Announces that the instance shuts down, so that it is no longer ready. */
    fun start(
        connections: Int,
        inProgress: Int,
    ) {
        plan = ShutdownPlan(clock.nowMillis(), graceMillis())
        log.lifecycle("leaving", mapOf("connections" to connections, "inProgress" to inProgress))
    }

    /** Called for each request that was read. */
    fun onRequestRead() {
        if (isLeaving) readSinceStart++
        if (isComplete) log.lifecycle("request read after the shutdown was complete", emptyMap())
    }

    /** Closes the connections of callers, and returns when all are closed or the grace period is over. */
    suspend fun complete(
        server: CallerServer,
        requests: RequestService,
    ) {
        while (!advance(server, requests)) delay(POLL_MILLIS)
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

    /** Takes the next step of the shutdown that is due. Returns whether the shutdown has ended. */
    private fun advance(
        server: CallerServer,
        requests: RequestService,
    ): Boolean =
        when (checkNotNull(plan).stage(clock.nowMillis(), server.isClosing, server.connectionCount)) {
            ShutdownStage.ACCEPTING -> false
            ShutdownStage.CLOSING -> {
                if (!server.isClosing) {
                    val fields = mapOf("connections" to server.connectionCount, "inProgress" to requests.inProgress)
                    log.lifecycle("closing connections", fields)
                    server.close()
                }
                false
            }
            ShutdownStage.ENDED -> true
        }

    private companion object {
        const val POLL_MILLIS = 50L
    }
}
