package io.sequoiawheel.standin.server

import java.io.IOException
import java.net.DatagramSocket
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates ports for listeners that are started later. The ports are below the ephemeral range of the operating
 * system, so that no outgoing connection occupies one in the meantime. Each process starts at a different offset and
 * uses each port once.
 */
object FreePorts {
    private const val FIRST = 10_000
    private const val COUNT = 22_000
    private const val PORTS_PER_PROCESS = 97

    private val next = AtomicInteger((ProcessHandle.current().pid() * PORTS_PER_PROCESS % COUNT).toInt())

    /** Returns a port that is free for TCP and UDP. */
    fun allocate(): Int =
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
