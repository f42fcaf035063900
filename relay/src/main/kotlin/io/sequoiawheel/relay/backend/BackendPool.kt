package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Replica

/**
 * Keeps idle connections to replicas for reuse, newest first. Confined to the event loop.
 *
 * @param onHead called with the head of each answer that a replica gives
 */
internal class BackendPool(
    private val connector: Connector,
    private val onHead: (Replica, HttpResponse) -> Unit,
) {
    private val idle = HashMap<Replica, ArrayDeque<BackendConnection>>()

    /** Connections opened so far. */
    var opened = 0L
        private set

    /**
     * Returns a connection to [replica].
     *
     * @param mustBeRecent whether a connection that the peer may be closing just now is out of the question
     */
    suspend fun acquire(
        replica: Replica,
        mustBeRecent: Boolean,
    ): BackendConnection {
        val kept = idle[replica]
        while (!kept.isNullOrEmpty()) {
            val connection = kept.removeLast()
            if (isUsable(connection, mustBeRecent)) return connection
            connection.close()
        }
        opened++
        val connection = connector.connect(Endpoint(replica.entry.host, replica.entry.port))
        connection.onHead = { onHead(replica, it) }
        return connection
    }

    /**
     * Runs [exchange] on a connection to [replica]. The connection is kept if the exchange was completed, else it is
     * closed, since its response may still be under way.
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

    /** Takes back a connection whose exchange is complete. */
    fun release(
        replica: Replica,
        connection: BackendConnection,
    ) {
        if (!connection.complete()) return
        if (replica.isLeaving) {
            connection.close()
            return
        }
        val kept = idle.getOrPut(replica) { ArrayDeque() }
        kept.addLast(connection)
        if (kept.size > MAXIMUM_IDLE) kept.removeFirst().close()
    }

    /** Closes connections that have been idle too long, and all of replicas that are not in [known]. */
    fun sweep(known: Set<Replica>) {
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
        val limitMillis = connection.usableIdleMillis
        val allowedMillis = if (mustBeRecent) limitMillis / 2 else limitMillis
        return connection.isOpen && connection.idleMillis <= allowedMillis
    }

    private companion object {
        /** Idle connections kept for one replica. */
        const val MAXIMUM_IDLE = 16
    }
}
