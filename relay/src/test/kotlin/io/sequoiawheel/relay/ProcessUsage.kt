package io.sequoiawheel.relay

import java.io.File
import java.io.IOException

/**
 * What the process [pid] occupies: its resident memory with the bytes that wait unread at the connections to its
 * [port], and its open descriptors. Keeps the largest figures of all samples.
 */
internal class ProcessUsage(
    private val pid: Long,
    port: Int,
) {
    private val localPort = ":%04X".format(port)

    var memoryMegabytes = 0L
        private set

    var descriptors = 0
        private set

    /** Reads the present figures. Does nothing once the process has ended. */
    fun sample() {
        try {
            val resident = File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }
            val bytes = resident.filter(Char::isDigit).toLong() * BYTES_PER_KILOBYTE + unreadBytes()
            memoryMegabytes = maxOf(memoryMegabytes, bytes / BYTES_PER_MEGABYTE)
            descriptors = maxOf(descriptors, File("/proc/$pid/fd").list()?.size ?: 0)
        } catch (ended: IOException) {
            return
        } catch (ended: NoSuchElementException) {
            return
        }
    }

    /** The receive queues of all connections of the port; a listener reports its backlog there instead. */
    private fun unreadBytes(): Long =
        listOf("/proc/net/tcp", "/proc/net/tcp6")
            .flatMap { File(it).readLines().drop(1) }
            .map { it.trim().split(Regex(" +")) }
            .filter { it[LOCAL_ADDRESS].endsWith(localPort) && it[STATE] != LISTENING }
            .sumOf { it[QUEUES].substringAfter(':').toLong(HEX) }

    private companion object {
        const val BYTES_PER_KILOBYTE = 1_024
        const val BYTES_PER_MEGABYTE = 1_048_576
        const val LOCAL_ADDRESS = 1
        const val STATE = 3
        const val QUEUES = 4
        const val LISTENING = "0A"
        const val HEX = 16
    }
}
