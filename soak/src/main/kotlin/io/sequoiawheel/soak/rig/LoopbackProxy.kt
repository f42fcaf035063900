/*
 * A TCP proxy on loopback whose bytes can be delayed, withheld or torn, and whose connections can be reset. Ends and
 * resets of either side are passed on to the other one.
 */
package io.sequoiawheel.soak.rig

import java.io.IOException
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap

/** What a proxy does with the bytes it receives. */
enum class ProxyMode {
    PASS,

    /** Each piece is passed on [LoopbackProxy.DELAY_MILLIS] later. */
    DELAY,

    /** Nothing is passed on in either direction while the mode lasts. */
    SILENT,

    /** Nothing is passed on to the target while the mode lasts; its own bytes are. */
    ONE_WAY,

    /** Each byte is written by itself. */
    TORN,
}

/** Forwards connections to the port that [targetPort] returns. */
class LoopbackProxy(
    private val targetPort: () -> Int,
) : AutoCloseable {
    private class Link(
        val client: Socket,
        val target: Socket,
    ) {
        @Volatile
        var lastByteNanos = System.nanoTime()

        fun reset() =
            listOf(client, target).forEach {
                runCatching { it.setSoLinger(true, 0) }
                runCatching { it.close() }
            }
    }

    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links = ConcurrentHashMap.newKeySet<Link>()

    @Volatile
    var mode = ProxyMode.PASS

    val port: Int get() = listener.localPort

    init {
        startThread { acceptAll() }
    }

    /** Resets all open connections. */
    fun resetAll() = links.forEach { it.reset() }

    /** Resets the connections on which no byte was passed on for [idleMillis]. */
    fun dropIdle(idleMillis: Long) =
        links
            .filter { System.nanoTime() - it.lastByteNanos > idleMillis * NANOS_PER_MILLI }
            .forEach { it.reset() }

    override fun close() {
        listener.close()
        resetAll()
    }

    private fun acceptAll() {
        while (!listener.isClosed) {
            val client =
                try {
                    listener.accept()
                } catch (_: IOException) {
                    return
                }
            startThread { connect(client) }
        }
    }

    private fun connect(client: Socket) {
        val target = Socket()
        try {
            target.connect(InetSocketAddress("127.0.0.1", targetPort()), CONNECT_MILLIS)
        } catch (_: IOException) {
            client.setSoLinger(true, 0)
            client.close()
            return
        }
        client.tcpNoDelay = true
        target.tcpNoDelay = true
        val link = Link(client, target).also { links += it }
        val backward = startThread { pump(link, target, client, isForward = false) }
        pump(link, client, target, isForward = true)
        backward.join()
        client.close()
        target.close()
        links -= link
    }

    private fun pump(
        link: Link,
        from: Socket,
        to: Socket,
        isForward: Boolean,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                while (isHeldBack(isForward)) Thread.sleep(PASSAGE_POLL_MILLIS)
                if (count < 0) break
                link.lastByteNanos = System.nanoTime()
                write(to.getOutputStream(), buffer, count)
            }
            to.shutdownOutput()
        } catch (_: IOException) {
            link.reset()
        }
    }

    private fun write(
        output: OutputStream,
        buffer: ByteArray,
        count: Int,
    ) {
        if (mode == ProxyMode.DELAY) Thread.sleep(DELAY_MILLIS)
        if (mode == ProxyMode.TORN) {
            repeat(count) { output.write(buffer, it, 1) }
        } else {
            output.write(buffer, 0, count)
        }
    }

    private fun isHeldBack(isForward: Boolean): Boolean {
        if (listener.isClosed) return false
        return mode == ProxyMode.SILENT || (mode == ProxyMode.ONE_WAY && isForward)
    }

    companion object {
        const val DELAY_MILLIS = 40L
        private const val BACKLOG = 400
        private const val BUFFER_BYTES = 16_384
        private const val CONNECT_MILLIS = 1_000
        private const val PASSAGE_POLL_MILLIS = 10L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Runs [body] on a daemon thread with a small stack, since a rig has hundreds of them. */
internal fun startThread(body: () -> Unit): Thread =
    Thread(null, body, "soak", STACK_BYTES).apply {
        isDaemon = true
        start()
    }

private const val STACK_BYTES = 262_144L
