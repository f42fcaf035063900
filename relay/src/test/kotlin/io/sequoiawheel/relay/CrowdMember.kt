package io.sequoiawheel.relay

import java.io.IOException
import java.io.OutputStream
import java.net.Socket
import java.net.SocketTimeoutException

/** The limits of the instance that a crowd of callers meets, and the pace of the crowd. */
internal object CrowdLimits {
    const val BODY_BYTES = 1_048_576
    const val HEADER_BYTES = 16_384
    const val BLOCK_BYTES = 65_536
    const val PIECE_BYTES = 4_096
    const val PIECE_PAUSE_MILLIS = 2L
}

/**
 * What each caller of a crowd sends on a connection before it stops and stays connected.
 *
 * @property path the path of the request
 * @property connections number of callers
 * @property send writes to the connection; it is called again on a new one when the instance has closed it
 */
internal enum class CrowdMember(
    val path: String = "/safe/a",
    val connections: Int = CONNECTIONS,
    val send: OutputStream.(CrowdMember) -> Unit,
) {
    OVER_THE_LIMIT_ANNOUNCED(send = {
        head("Content-Length: ${64L * CrowdLimits.BODY_BYTES}")
        forever { write(BLOCK) }
    }),
    OVER_THE_LIMIT_IN_CHUNKS(send = {
        head(CHUNKED)
        forever { write(LARGE_CHUNK) }
    }),
    OVER_THE_LIMIT_IN_TINY_CHUNKS(send = {
        head(CHUNKED)
        forever { write(TINY_CHUNKS) }
    }),
    LARGE_WHOLE(send = {
        forever {
            head("Content-Length: ${CrowdLimits.BODY_BYTES}")
            body(CrowdLimits.BODY_BYTES)
        }
    }),
    LARGE_IN_PIECES(send = {
        head("Content-Length: ${CrowdLimits.BODY_BYTES}")
        repeat((CrowdLimits.BODY_BYTES - 1) / CrowdLimits.PIECE_BYTES) {
            body(CrowdLimits.PIECE_BYTES)
            Thread.sleep(CrowdLimits.PIECE_PAUSE_MILLIS)
        }
    }),
    LARGE_JUST_SHORT(send = {
        head("Content-Length: ${CrowdLimits.BODY_BYTES}")
        body(CrowdLimits.BODY_BYTES - 1)
    }),
    CHUNKED_JUST_SHORT(send = {
        head(CHUNKED)
        repeat(CrowdLimits.BODY_BYTES / CrowdLimits.BLOCK_BYTES - 1) { write(LARGE_CHUNK) }
    }),
    TINY_CHUNKS_JUST_SHORT(send = {
        head(CHUNKED)
        repeat(CrowdLimits.BODY_BYTES / TINY_CHUNKS_IN_BLOCK - 1) { write(TINY_CHUNKS) }
    }),
    HEADS_OF_ONE_LINE_WITHOUT_END(send = {
        write("POST /safe/a HTTP/1.1\r\nX-Endless: ".toByteArray())
        write(ByteArray(CrowdLimits.HEADER_BYTES - MARGIN_BYTES) { 'x'.code.toByte() })
    }),
    HEADS_OF_SHORT_LINES_WITHOUT_END(connections = MANY_CONNECTIONS, send = {
        write("POST /safe/a HTTP/1.1\r\n".toByteArray())
        write("a:\r\n".repeat((CrowdLimits.HEADER_BYTES - MARGIN_BYTES) / SHORT_LINE_BYTES).toByteArray())
    }),
    IDLE(connections = MANY_CONNECTIONS, send = {}),
    PIPELINED("/safe/slow", MANY_CONNECTIONS, {
        forever {
            head("Content-Length: 0\r\n" + "a:\r\n".repeat(SHORT_LINES) + "b: b", it.path)
        }
    }),
    PIPELINED_BODIES("/safe/slow", MANY_CONNECTIONS, {
        forever {
            head("Content-Length: ${CrowdLimits.BLOCK_BYTES}", it.path)
            body(CrowdLimits.BLOCK_BYTES)
        }
    }),
    ANSWERS_NEVER_READ("/safe/large", send = {
        head("Content-Length: 0", it.path)
    }),
    ;

    /**
     * Behaves as this member until [isOver]; connects again whenever the instance closes the connection. Adds its
     * connections to [sockets], since a writer that the instance does not read ends only when its connection is closed.
     */
    fun run(
        port: Int,
        isOver: () -> Boolean,
        sockets: MutableCollection<Socket>,
    ) {
        while (!isOver()) {
            try {
                Socket("127.0.0.1", port).use { socket ->
                    sockets += socket
                    send(socket.getOutputStream(), this)
                    stayConnected(socket, isOver)
                }
            } catch (closed: IOException) {
                if (!isOver()) Thread.sleep(RECONNECT_MILLIS)
            } catch (over: InterruptedException) {
                return
            }
        }
    }

    /** Returns once the instance has closed the connection, except where the answer is to stay unread. */
    private fun stayConnected(
        socket: Socket,
        isOver: () -> Boolean,
    ) {
        socket.soTimeout = RECONNECT_MILLIS.toInt()
        while (!isOver()) {
            if (this == ANSWERS_NEVER_READ) {
                Thread.sleep(RECONNECT_MILLIS)
            } else if (hasEnded(socket)) {
                return
            }
        }
    }

    private fun hasEnded(socket: Socket): Boolean =
        try {
            socket.getInputStream().read() == -1
        } catch (open: SocketTimeoutException) {
            false
        }
}

private const val CONNECTIONS = 48
private const val MANY_CONNECTIONS = 300
private const val MARGIN_BYTES = 256
private const val SHORT_LINE_BYTES = 4
private const val SHORT_LINES = 2_000
private const val RECONNECT_MILLIS = 50L
private const val CHUNKED = "Transfer-Encoding: chunked"
private const val TINY_CHUNKS_IN_BLOCK = 8_192
private val BLOCK = ByteArray(CrowdLimits.BLOCK_BYTES) { 'x'.code.toByte() }
private val LARGE_CHUNK = "10000\r\n".toByteArray() + BLOCK + "\r\n".toByteArray()
private val TINY_CHUNKS = "1\r\nx\r\n".repeat(TINY_CHUNKS_IN_BLOCK).toByteArray()

private fun OutputStream.head(
    lines: String,
    path: String = "/safe/a",
) = write(
    (
        "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 5000\r\nApi-Key: key-1\r\n" +
            "$lines\r\n\r\n"
    ).toByteArray(),
)

private fun OutputStream.body(bytes: Int) {
    var left = bytes
    while (left > 0) {
        val length = minOf(left, BLOCK.size)
        write(BLOCK, 0, length)
        left -= length
    }
}

/** Repeats [action] until the connection is closed, by the instance or at the end of the crowd. */
private inline fun forever(action: () -> Unit) {
    while (!Thread.currentThread().isInterrupted) action()
}
