/*
 * A caller's connection to an entry instance, over blocking sockets. It reads responses strictly: a response counts as
 * whole only if its length or its last chunk says so.
 */
package io.sequoiawheel.standin.platform

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** How a response ended, as seen by its caller. */
enum class ResponseEnd {
    WHOLE,

    /** The connection ended, or the bytes were no response, after the first byte. */
    CUT,

    /** The connection ended before the first byte. */
    NONE,

    /** The caller's patience ended first. */
    TIMED_OUT,
}

/** What a caller received for one request; [requestId] and [signature] are those of the response. */
class CallerResponse(
    val end: ResponseEnd,
    val status: Int?,
    val requestId: String?,
    val signature: String?,
    val body: String,
    val isLast: Boolean,
)

class CallerStandIn(
    port: Int,
) : AutoCloseable {
    private class Head(
        val status: Int,
        val headers: Map<String, String>,
    )

    private val socket =
        Socket().apply {
            tcpNoDelay = true
            connect(InetSocketAddress("127.0.0.1", port), CONNECT_MILLIS)
        }
    private val buffer = ByteArray(BUFFER_BYTES)
    private var position = 0
    private var limit = 0
    private var deadlineNanos = 0L
    private var hasBytes = false

    /**
     * Sends a request on [path]. Returns false if the connection was already closed.
     *
     * @param sharedParts ids of the parts of the prompt before the one that belongs to the request itself
     */
    fun send(
        path: String,
        requestId: String,
        body: String,
        deadlineMillis: Long,
        sharedParts: List<String> = emptyList(),
    ): Boolean =
        try {
            val parts = sharedParts + requestId.hashCode().toUInt().toString(HEX)
            socket.getOutputStream().write(
                (
                    "POST $path HTTP/1.1\r\nHost: $HOST\r\nX-Request-Id: $requestId\r\n" +
                        "X-Deadline-Ms: $deadlineMillis\r\nX-Model: m\r\nX-Token-Usage: 200,48\r\n" +
                        "X-Prefix-Hash: ${parts.joinToString(",") { "$it:$PART_TOKENS" }}\r\n" +
                        "Content-Length: ${body.length}\r\n\r\n$body"
                ).toByteArray(),
            )
            true
        } catch (_: IOException) {
            false
        }

    /** Reads the response to the last request, for [patienceMillis] at most. */
    fun receive(patienceMillis: Long): CallerResponse {
        deadlineNanos = System.nanoTime() + patienceMillis * NANOS_PER_MILLI
        hasBytes = false
        val body = ByteArrayOutputStream()
        var head: Head? = null
        val end =
            try {
                head = readHead()
                readBody(head, body)
                ResponseEnd.WHOLE
            } catch (_: SocketTimeoutException) {
                ResponseEnd.TIMED_OUT
            } catch (_: IOException) {
                if (hasBytes) ResponseEnd.CUT else ResponseEnd.NONE
            } catch (_: NumberFormatException) {
                ResponseEnd.CUT
            }
        return CallerResponse(
            end,
            head?.status,
            head?.headers?.get("x-request-id"),
            head?.headers?.get("x-response-signature"),
            body.toString(Charsets.ISO_8859_1),
            isLast = end != ResponseEnd.WHOLE || head?.headers?.get("connection").equals("close", ignoreCase = true),
        )
    }

    /** Number of bytes that arrived while no request was waiting. */
    fun strayBytes(): Int = limit - position + runCatching { socket.getInputStream().available() }.getOrDefault(0)

    override fun close() = socket.close()

    private fun readHead(): Head {
        val status = readLine().removePrefix("HTTP/1.1 ").take(STATUS_DIGITS).toInt()
        val headers =
            generateSequence { readLine() }
                .takeWhile { it.isNotEmpty() }
                .associate { it.substringBefore(':').trim().lowercase() to it.substringAfter(':').trim() }
        return Head(status, headers)
    }

    private fun readBody(
        head: Head,
        body: ByteArrayOutputStream,
    ) {
        val length = head.headers["content-length"]?.toInt()
        when {
            length != null -> repeat(length) { body.write(readByte()) }
            head.headers["transfer-encoding"] == "chunked" -> readChunks(body)
            else -> throw EOFException("a response without a length")
        }
    }

    private fun readChunks(body: ByteArrayOutputStream) {
        while (true) {
            val size = readLine().substringBefore(';').trim().toInt(HEX)
            repeat(size) { body.write(readByte()) }
            readLine()
            if (size == 0) return
        }
    }

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val next = readByte()
            if (next == '\n'.code) return line.toString().removeSuffix("\r")
            line.append(next.toChar())
        }
    }

    private fun readByte(): Int {
        if (position == limit) {
            val remaining = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI
            if (remaining <= 0) throw SocketTimeoutException()
            socket.soTimeout = remaining.toInt()
            position = 0
            limit = 0
            val count = socket.getInputStream().read(buffer)
            if (count < 0) throw EOFException()
            limit = count
            hasBytes = true
        }
        return buffer[position++].toInt() and BYTE_MASK
    }

    companion object {
        /** Host name of the routes in [PlatformEntries]. */
        const val HOST = "h.example"
        private const val CONNECT_MILLIS = 1_000
        private const val BUFFER_BYTES = 4_096
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val STATUS_DIGITS = 3
        private const val HEX = 16
        private const val PART_TOKENS = 100
        private const val BYTE_MASK = 0xff
    }
}
