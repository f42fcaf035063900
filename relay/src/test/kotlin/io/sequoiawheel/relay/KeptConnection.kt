package io.sequoiawheel.relay

import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** A caller that sends one request after the other on a connection. */
internal class KeptConnection(
    val socket: Socket,
) : AutoCloseable {
    private val input = BufferedInputStream(socket.getInputStream())

    init {
        socket.soTimeout = READ_TIMEOUT_MILLIS
    }

    /** Sends a call with [id]. Throws if the connection was reset. */
    fun send(
        id: String,
        path: String = "/unsafe/a",
    ) {
        val request =
            "POST $path HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: $id\r\nX-Deadline-Ms: 5000\r\n" +
                "Api-Key: key-1\r\nContent-Length: 5\r\n\r\nhello"
        socket.getOutputStream().write(request.toByteArray())
    }

    /** Returns the status and body of the next response, or null if the connection ended before it was complete. */
    fun receive(): Pair<Int, String>? =
        try {
            val lines = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val length = lines.firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
            val body = length?.let { input.readNBytes(it.substringAfter(':').trim().toInt()) }
            lines.firstOrNull()?.let { it.split(' ')[1].toInt() to String(body ?: ByteArray(0)) }
        } catch (late: SocketTimeoutException) {
            throw AssertionError("the connection stays open without a response", late)
        } catch (reset: IOException) {
            null
        }

    /** Sends a call and returns its response, or null if the connection ended without one. */
    fun call(id: String): Pair<Int, String>? =
        try {
            send(id)
            receive()
        } catch (reset: IOException) {
            null
        }

    override fun close() = socket.close()

    /** Returns the next line, or null at the end of the input. */
    private fun readLine(): String? {
        val line = StringBuilder()
        while (true) {
            when (val next = input.read()) {
                -1 -> return null
                '\n'.code -> return line.toString().removeSuffix("\r")
                else -> line.append(next.toChar())
            }
        }
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 8_000
    }
}
