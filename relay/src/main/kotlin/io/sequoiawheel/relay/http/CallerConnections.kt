package io.sequoiawheel.relay.http

import io.sequoiawheel.relay.backend.ResponseMemory

/**
 * The open connections of callers. Confined to the event loop.
 *
 * @property responseMemory what the connections may hold of responses that their callers have not read
 */
internal class CallerConnections(
    val responseMemory: ResponseMemory,
) {
    private val open = LinkedHashSet<CallerConnection>()

    /** Whether connections end as soon as no request is left on them. */
    var isClosing = false
        private set

    val count: Int get() = open.size

    fun add(connection: CallerConnection) {
        open += connection
    }

    fun remove(connection: CallerConnection) {
        open -= connection
    }

    /** Lets all connections end, including those that are added later. */
    fun close() {
        isClosing = true
        open.toList().forEach(CallerConnection::endWhenIdle)
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
