/*
 * A TCP link to a server on loopback that can be disturbed in several ways, so that tests can cut a single instance off
 * from the platform's store.
 */
package io.sequoiawheel.standin.platform

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** What happens to the bytes on a link. */
enum class LinkState {
    /** They pass. */
    OPEN,

    /** None passes, and nothing is answered. */
    CUT,

    /** Those of the client pass, those of the server do not. */
    CUT_BACKWARDS,

    /** Those of the server are late. */
    SLOW,

    /** All connections are reset, also new ones. */
    RESET,
}

/** A link to the server at [target]. */
class StoreLink(
    private val target: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val executor = Executors.newCachedThreadPool()
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val monitor = Object()

    val port: Int get() = listener.localPort

    /** What happens to the bytes from now on. */
    var state = LinkState.OPEN
        set(value) =
            synchronized(monitor) {
                field = value
                if (value == LinkState.RESET) sockets.forEach(::reset)
                monitor.notifyAll()
            }

    init {
        executor.execute { acceptAll() }
    }

    private fun acceptAll() {
        try {
            while (true) {
                val client = listener.accept()
                sockets += client
                if (state == LinkState.RESET) reset(client) else executor.execute { connect(client) }
            }
        } catch (closed: IOException) {
            return
        }
    }

    private fun connect(client: Socket) {
        try {
            awaitPassage(isFromClient = true)
            val server = Socket(InetAddress.getLoopbackAddress(), target).also { sockets += it }
            executor.execute { forward(server, client, isFromClient = false) }
            forward(client, server, isFromClient = true)
        } catch (closed: IOException) {
            client.close()
        } catch (ended: InterruptedException) {
            client.close()
        }
    }

    private fun forward(
        source: Socket,
        destination: Socket,
        isFromClient: Boolean,
    ) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = source.getInputStream().read(buffer)
                awaitPassage(isFromClient)
                if (count < 0) break
                destination.getOutputStream().write(buffer, 0, count)
            }
        } catch (closed: IOException) {
            source.close()
        } catch (ended: InterruptedException) {
            source.close()
        }
        destination.close()
    }

    private fun awaitPassage(isFromClient: Boolean) {
        synchronized(monitor) {
            while (state == LinkState.CUT || state == LinkState.CUT_BACKWARDS && !isFromClient) monitor.wait()
        }
        if (state == LinkState.SLOW && !isFromClient) Thread.sleep(SLOW_MILLIS)
    }

    private fun reset(socket: Socket) {
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (closed: IOException) {
            sockets.remove(socket)
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
        executor.shutdownNow()
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 65_536

        /** Longer than an instance may act on a list that is not confirmed. */
        const val SLOW_MILLIS = 1_900L
    }
}
