package io.sequoiawheel.relay.http

import io.netty.channel.Channel
import io.sequoiawheel.core.memory.MemoryBudget
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.ProcessLimits
import io.sequoiawheel.relay.backend.ResponseMemory
import io.sequoiawheel.relay.internal.RelayMetrics

/**
 * The open connections of callers, and the memory that they hold. Confined to the event loop.
 *
 * @property responseMemory what the connections may hold of responses that their callers have not read
 * @property memory what they may hold of requests
 */
internal class CallerConnections(
    private val clock: Clock,
    val responseMemory: ResponseMemory,
    val limits: CallerLimits = CallerLimits.of(ProcessLimits(), Runtime.getRuntime().maxMemory()),
    val memory: MemoryBudget = MemoryBudget(limits.memoryBytes, NEWCOMER_BYTES, clock),
) {
    private val open = LinkedHashSet<CallerConnection>()

    /** Whether connections end as soon as no request is left on them. */
    var isClosing = false
        private set

    private var acceptPause: AcceptPause? = null

    val count: Int get() = open.size

    /** Stops accepting on [listener] while no further connection may be added. */
    fun limitAccepting(listener: Channel) {
        acceptPause = AcceptPause(listener, this)
    }

    /** Whether another connection may be accepted: the limit is not reached, or one of the open ones may be closed. */
    fun mayAdd(): Boolean = open.size < limits.connections || idlest() != null

    /** Adds [connection] after [mayAdd], and closes the one that has been idle the longest if there are too many. */
    fun add(connection: CallerConnection) {
        if (open.size >= limits.connections) {
            idlest()?.let {
                open -= it
                it.closeForNewcomer()
            }
        }
        open += connection
        acceptPause?.update()
    }

    fun remove(connection: CallerConnection) {
        if (open.remove(connection)) acceptPause?.update()
    }

    private fun idlest(): CallerConnection? {
        val nowMillis = clock.nowMillis()
        return open
            .mapNotNull { connection -> connection.idleMillis(nowMillis)?.let { connection to it } }
            .maxByOrNull { (_, idleMillis) -> idleMillis }
            ?.first
    }

    /** Registers the gauges of the connections and their memory. */
    fun publishGauges(metrics: RelayMetrics) {
        responseMemory.publishGauges(metrics)
        metrics.gauge("caller.connections") { count }
        metrics.gauge("caller.connections.limit") { limits.connections }
        metrics.gauge("caller.accepting") { if (acceptPause?.isPaused == true) 0 else 1 }
        metrics.gauge("caller.accept.pauses") { acceptPause?.count ?: 0 }
        metrics.gauge("caller.memory.bytes") { memory.heldBytes }
        metrics.gauge("caller.memory.peak.bytes") { memory.peakBytes }
        metrics.gauge("caller.memory.limit.bytes") { memory.totalBytes }
    }

    /** Lets all connections end, including those that are added later. */
    fun close() {
        isClosing = true
        open.toList().forEach(CallerConnection::endWhenIdle)
    }

    private companion object {
        /** An ordinary request with its head fits into the reserve of the memory. */
        const val NEWCOMER_BYTES = 65_536L
    }
}

/**
 * Why a request that was read ended without a complete response.
 *
 * @property label the label of the metric
 */
internal enum class UnansweredReason(
    val label: String,
) {
    /** The caller closed its connection first. */
    CALLER_CLOSED("caller closed"),

    /** The response had started and could not be completed. */
    ABORTED("aborted"),

    /** An error ended the connection. */
    FAILED("failed"),

    /** The grace period of a shutdown ended. */
    SHUTDOWN("shutdown"),
}
