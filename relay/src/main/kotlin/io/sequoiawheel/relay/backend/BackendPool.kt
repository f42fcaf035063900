package io.sequoiawheel.relay.backend

import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Replica

/**
 * Pools idle connections to replicas and reuses the most recent one first. Confined to the event loop.
 *
 * @param onHead called with the head of each response of a replica
 * @param onUnexpectedBytes called with bytes of a replica that belong to no request
 */
internal class BackendPool(
    private val connector: Connector,
    private val onHead: (Replica, ResponseHead) -> Unit,
    private val onUnexpectedBytes: (Replica, UnexpectedBytes) -> Unit = { _, _ -> },
) {
    private class ReplicaConnections {
        val idle = ArrayDeque<BackendConnection>()

        /** Ids that were sent to the replica, over any connection. */
        val sentIds = SentRequestIds(MAXIMUM_IDS)
    }

    private val connections = HashMap<Replica, ReplicaConnections>()

    /** Number of connections opened so far. */
    var opened = 0L
        private set

    /** Number of idle connections that were not used because a response on them could belong to an earlier request. */
    var passedOver = 0L
        private set

    /**
     * Returns an idle or a new connection to [replica]. An id that was sent to the replica before needs an unused
     * connection: on any other one, the replica may still send a response to the earlier send, which would be taken for
     * the response to this one.
     *
     * @param requestId id of the request that is to be sent, or null if it has none
     * @param mustBeRecent whether to avoid idle connections that the peer may be about to close
     * @param mayBeUsed whether a request without an id may be sent on a connection that carried others before, whose
     *   late responses the caller can tell from its own
     */
    suspend fun acquire(
        replica: Replica,
        requestId: String?,
        mustBeRecent: Boolean,
        mayBeUsed: Boolean = false,
    ): BackendConnection {
        val sentIds = connections.getOrPut(replica) { ReplicaConnections() }.sentIds
        val isResend = requestId != null && requestId in sentIds
        if (requestId != null && !isResend) sentIds.add(requestId)
        takeIdle(replica, requestId.takeUnless { isResend }, mustBeRecent, mayBeUsed)?.let { return it }
        opened++
        val connection = connector.connect(Endpoint(replica.entry.host, replica.entry.port))
        connection.unreadRequests = replica.unreadRequests
        connection.onHead = { onHead(replica, it) }
        connection.trace.onUnexpectedBytes = { onUnexpectedBytes(replica, it) }
        return connection
    }

    /** @param requestId id by which a response is told from late ones, or null if there is none */
    private fun takeIdle(
        replica: Replica,
        requestId: String?,
        mustBeRecent: Boolean,
        mayBeUsed: Boolean,
    ): BackendConnection? {
        val idle = connections.getValue(replica).idle
        for (index in idle.indices.reversed()) {
            val connection = idle[index]
            val isUsable = isUsable(connection, mustBeRecent)
            if (isUsable && !mayBeUsed && !connection.mayCarry(requestId)) {
                passedOver++
                continue
            }
            idle.removeAt(index)
            if (isUsable) return connection
            connection.close()
        }
        return null
    }

    /**
     * Runs [exchange] on a connection to [replica] that may carry [requestId]. The connection returns to the pool if
     * the exchange was completed; otherwise it is reset, since its response may still be in flight.
     */
    suspend fun <T> use(
        replica: Replica,
        requestId: String?,
        mustBeRecent: Boolean,
        mayBeUsed: Boolean = false,
        exchange: suspend (ConnectionLease) -> T,
    ): T {
        val lease = ConnectionLease(acquire(replica, requestId, mustBeRecent, mayBeUsed))
        try {
            return exchange(lease)
        } finally {
            if (lease.isComplete) release(replica, lease.connection) else lease.connection.abort()
        }
    }

    /** Returns a connection whose exchange is complete to the pool. */
    fun release(
        replica: Replica,
        connection: BackendConnection,
    ) {
        if (!connection.complete()) return
        if (replica.isLeaving) {
            connection.close()
            return
        }
        val idle = connections.getOrPut(replica) { ReplicaConnections() }.idle
        idle.addLast(connection)
        if (idle.size > MAXIMUM_IDLE_CONNECTIONS) idle.removeFirst().close()
    }

    /** Closes connections that have been idle too long, and all connections to replicas that are not in [known]. */
    fun evictIdle(known: Set<Replica>) {
        connections.values.forEach { ofReplica ->
            ofReplica.idle.removeIf { connection ->
                val expired = !isUsable(connection, mustBeRecent = false)
                if (expired) connection.close()
                expired
            }
        }
        connections.entries.removeIf { (replica, ofReplica) ->
            if (replica !in known) ofReplica.idle.forEach { it.close() }
            replica !in known
        }
    }

    private fun isUsable(
        connection: BackendConnection,
        mustBeRecent: Boolean,
    ): Boolean {
        val limitMillis = connection.maximumIdleMillis
        val allowedMillis = if (mustBeRecent) limitMillis / 2 else limitMillis
        return connection.isOpen && connection.idleMillis <= allowedMillis
    }

    private companion object {
        /** Maximum number of idle connections per replica. */
        const val MAXIMUM_IDLE_CONNECTIONS = 16

        /** Bounds the ids of a replica to 4 KiB. */
        const val MAXIMUM_IDS = 1_024
    }
}
