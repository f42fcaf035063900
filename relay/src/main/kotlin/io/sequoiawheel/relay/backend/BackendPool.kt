package io.sequoiawheel.relay.backend

import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Replica

/**
 * Pools idle connections to replicas and reuses the most recent one first. Confined to the event loop.
 *
 * @param onHead called with the head of each response of a replica
 */
internal class BackendPool(
    private val connector: Connector,
    private val onHead: (Replica, ResponseHead) -> Unit,
) {
    private val idle = HashMap<Replica, ArrayDeque<BackendConnection>>()

    /** Number of connections opened so far. */
    var opened = 0L
        private set

    /**
     * Returns an idle or a new connection to [replica].
     *
     * @param mustBeRecent whether to avoid idle connections that the peer may be about to close
     */
    suspend fun acquire(
        replica: Replica,
        mustBeRecent: Boolean,
    ): BackendConnection {
        val idleConnections = idle[replica]
        while (!idleConnections.isNullOrEmpty()) {
            val connection = idleConnections.removeLast()
            if (isUsable(connection, mustBeRecent)) return connection
            connection.close()
        }
        opened++
        val connection = connector.connect(Endpoint(replica.entry.host, replica.entry.port))
        connection.onHead = { onHead(replica, it) }
        return connection
    }

    /**
     * Runs [exchange] on a connection to [replica]. The connection returns to the pool if the exchange was completed;
     * otherwise it is reset, since its response may still be in flight.
     */
    suspend fun <T> use(
        replica: Replica,
        mustBeRecent: Boolean,
        exchange: suspend (ConnectionLease) -> T,
    ): T {
        val lease = ConnectionLease(acquire(replica, mustBeRecent))
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
        val idleConnections = idle.getOrPut(replica) { ArrayDeque() }
        idleConnections.addLast(connection)
        if (idleConnections.size > MAXIMUM_IDLE_CONNECTIONS) idleConnections.removeFirst().close()
    }

    /** Closes connections that have been idle too long, and all connections to replicas that are not in [known]. */
    fun evictIdle(known: Set<Replica>) {
        idle.entries.removeIf { (replica, connections) ->
            connections.removeIf { connection ->
                val expired = replica !in known || !isUsable(connection, mustBeRecent = false)
                if (expired) connection.close()
                expired
            }
            connections.isEmpty()
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
    }
}
