package io.sequoiawheel.relay

import java.io.IOException
import java.net.DatagramSocket
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports for listeners that are started later. They lie below the range from which the system takes ports of outgoing
 * connections, so that no connection made meanwhile holds one; each process begins at another place and uses each once.
 */
internal object FreePorts {
    private const val FIRST = 10_000
    private const val COUNT = 22_000
    private const val PORTS_A_PROCESS = 97

    private val next = AtomicInteger((ProcessHandle.current().pid() * PORTS_A_PROCESS % COUNT).toInt())

    /** Returns a port that is free for TCP and UDP. */
    fun take(): Int =
        generateSequence { FIRST + next.getAndIncrement() % COUNT }
            .take(COUNT)
            .first(::isFree)

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).use { DatagramSocket(port).use { true } }
        } catch (taken: IOException) {
            false
        }
}
