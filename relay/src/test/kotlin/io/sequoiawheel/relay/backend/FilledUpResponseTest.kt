package io.sequoiawheel.relay.backend

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import java.io.IOException

/**
 * A response that is cut after any of its bytes and followed by another one, whose bytes may fill it up. The connection
 * is closed after the last byte, so that a response that remains incomplete fails.
 */
class FilledUpResponseTest {
    /** How the length of the response that is cut is told. */
    enum class Form { LENGTH, CHUNKS, CLOSE }

    /** What follows the response that is cut. */
    enum class Second { SAME, OTHER_STATUS, OTHER_REQUEST, OTHER_VERSION, FIRST_BYTES, FIRST_LINE }

    /** How the bytes arrive: in one read, the second response later, or as soon as the body is full. */
    enum class Arrival { TOGETHER, LATER, IN_TWO_SEGMENTS, LAST_BYTE_LATER }

    private class Exchange {
        private val channel = EmbeddedChannel()
        private val decoder = ResponseDecoder()
        private val backend = BackendConnection(channel, decoder, Clock { 0L }, ResponseMemoryBudget())

        init {
            channel.pipeline().addLast(decoder, backend)
        }

        /** Sends a request, receives [segments] and returns the body of the response, or null if it is not valid. */
        fun bodyOf(
            segments: List<String>,
            requestId: String?,
            isClosed: Boolean,
        ): String? =
            runBlocking(Dispatchers.Unconfined) {
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a", Unpooled.EMPTY_BUFFER)
                requestId?.let { request.headers().set("X-Request-Id", it) }
                backend.send(request)
                val body =
                    async {
                        try {
                            backend.receiveHead(requestId)
                            String(backend.receiveBody(), Charsets.ISO_8859_1)
                        } catch (expected: IOException) {
                            null
                        }
                    }
                for (segment in segments.filter { it.isNotEmpty() }) {
                    channel.writeInbound(Unpooled.copiedBuffer(segment, Charsets.ISO_8859_1))
                    channel.runPendingTasks()
                    yield()
                }
                if (isClosed) channel.close()
                body.await()
            }
    }

    private fun head(
        status: String,
        id: String,
        framing: String,
    ) = "$status\r\nX-Request-Id: $id\r\nX-Response-Signature: $id\r\nContent-Type: text/plain\r\n$framing\r\n"

    private fun response(
        form: Form,
        body: String,
        status: String = "HTTP/1.1 200 OK",
        id: String = ID,
    ): String =
        when (form) {
            Form.LENGTH -> head(status, id, "Content-Length: ${body.length}\r\n") + body
            Form.CLOSE -> head(status, id, "") + body
            Form.CHUNKS -> {
                val chunks = body.chunked(CHUNK).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" }
                head(status, id, "Transfer-Encoding: chunked\r\n") + chunks + "0\r\nX-Trailer: 1\r\n\r\n"
            }
        }

    private fun second(
        second: Second,
        form: Form,
        body: String,
    ): String =
        when (second) {
            Second.SAME -> response(form, body)
            Second.OTHER_STATUS -> response(form, "failed", "HTTP/1.1 500 Internal Server Error")
            Second.OTHER_REQUEST -> response(form, body.reversed(), id = "id-2")
            Second.OTHER_VERSION -> response(form, body, "HTTP/1.0 200 OK")
            Second.FIRST_BYTES -> response(form, body).take(FIRST_BYTES)
            Second.FIRST_LINE -> response(form, body).substringBefore("Content-Type")
        }

    private fun body(size: Int) = "result ${"0123456789abcdef".repeat(size / HEX + 1)}".take(size)

    private fun segments(
        cut: String,
        following: String,
        missing: Int,
        arrival: Arrival,
    ): List<String> {
        val full = missing.coerceIn(0, following.length)
        return when (arrival) {
            Arrival.TOGETHER -> listOf(cut + following)
            Arrival.LATER -> listOf(cut, following)
            Arrival.IN_TWO_SEGMENTS -> listOf(cut + following.take(full), following.drop(full))
            Arrival.LAST_BYTE_LATER -> {
                val before = maxOf(full - 1, 0)
                listOf(cut, following.take(before), following.drop(before).take(2), following.drop(before + 2))
            }
        }
    }

    /**
     * Places at which a response of [length] bytes is cut: all, or those near its head, its end and one chunk's end,
     * and others between them.
     */
    private fun cuts(length: Int): Iterable<Int> {
        if (length <= 2 * NEAR_BYTES) return 1..length
        val middle = NEAR_BYTES..length - NEAR_BYTES step MIDDLE_STEP
        return (1..NEAR_BYTES) + middle + (CHUNK..CHUNK + NEAR_BYTES) + (length - NEAR_BYTES..length)
    }

    private fun isKnowable(
        form: Form,
        missing: Int,
        following: String,
    ): Boolean =
        when (form) {
            // The first bytes of a head end exactly with the body, and nothing follows.
            Form.LENGTH -> missing != following.length
            Form.CHUNKS -> true
            // A body without a length that is closed early, with less than a status line of another response.
            Form.CLOSE -> following.length >= STATUS_LINE_BYTES
        }

    private fun faults(
        form: Form,
        second: Second,
        arrival: Arrival,
        size: Int,
        requestId: String?,
    ): List<String> {
        val body = body(size)
        val whole = response(form, body)
        val following = second(second, form, body)
        return cuts(whole.length).mapNotNull { end ->
            val missing = whole.length - end
            val isWhole = missing == 0 && form != Form.CLOSE
            if (!isWhole && !isKnowable(form, missing, following)) return@mapNotNull null
            val segments = segments(whole.take(end), following, missing, arrival)
            val received = Exchange().bodyOf(segments, requestId, isClosed = true)
            val isExpected = received == body || received == null && !isWhole
            val shown = received?.takeLast(FAULT_CHARACTERS)
            if (isExpected) null else "$form, $arrival, $missing bytes missing: $shown"
        }
    }

    private fun assertNoFaults(
        form: Form,
        second: Second,
        arrival: Arrival,
        size: Int,
    ) {
        val faults = listOf(ID, null).flatMap { faults(form, second, arrival, size, it) }
        assertTrue(faults.isEmpty()) { "${faults.size} bodies: ${faults.first()}" }
    }

    // A body that lacked up to 11 bytes was delivered with the beginning of the status line that followed (review/11).
    @ParameterizedTest
    @EnumSource
    fun `a response that another one fills up is not taken for whole`(second: Second) {
        for (form in Form.entries) {
            for (arrival in Arrival.entries) {
                for (size in listOf(6, 400)) assertNoFaults(form, second, arrival, size)
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a large response that another one fills up is not taken for whole`(second: Second) {
        for (form in Form.entries) assertNoFaults(form, second, Arrival.IN_TWO_SEGMENTS, LARGE_BYTES)
    }

    // Callers were to get bodies that quote a status line, whatever follows them on the connection.
    @ParameterizedTest
    @ValueSource(
        strings = [
            "H", "HT", "HTTP/1.", "HTTP/1.1 20", "HTTP/1.1 200", "HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found\r\n",
            "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nServer: a\r\n\r\nbody",
        ],
    )
    fun `a whole body that ends like a response is delivered`(end: String) {
        for (form in listOf(Form.LENGTH, Form.CHUNKS)) {
            val body = "quoted: $end"
            val whole = response(form, body)
            val next = response(form, "next")
            val arrivals =
                listOf(
                    listOf(whole),
                    listOf(whole + next),
                    listOf(whole, next),
                    listOf(whole + next.take(1), next.drop(1)),
                )
            for (segments in arrivals) {
                assertEquals(body, Exchange().bodyOf(segments, ID, isClosed = false), "$form $segments")
            }
        }
    }

    @Test
    fun `a status line in the middle of a body does not fail it when bytes follow`() {
        val body = "the line HTTP/1.1 200 OK begins a response\nand a blank line ends its head"
        for (form in listOf(Form.LENGTH, Form.CHUNKS)) {
            val segments = listOf(response(form, body) + response(form, "next"))
            assertEquals(body, Exchange().bodyOf(segments, ID, isClosed = false))
        }
    }

    // The wait for the bytes that decide delayed sound responses.
    @ParameterizedTest
    @CsvSource("result, false", "result H, true", "result HTTP/1.1 200 OK, true", "result, true")
    fun `a sound body does not wait for further bytes once they arrived or cannot matter`(
        body: String,
        isFollowed: Boolean,
    ) {
        val segments = listOf(response(Form.LENGTH, body) + if (isFollowed) response(Form.LENGTH, "next") else "")
        val start = System.nanoTime()
        repeat(REPEATS) { assertEquals(body, Exchange().bodyOf(segments, ID, isClosed = false)) }
        val millis = (System.nanoTime() - start) / NANOS_PER_MILLI
        assertTrue(millis < REPEATS * MAXIMUM_MEAN_MILLIS) { "$REPEATS bodies took $millis ms" }
    }

    private companion object {
        const val ID = "id-1"
        const val HEX = 16
        const val CHUNK = 8_192
        const val FIRST_BYTES = 5
        const val STATUS_LINE_BYTES = 12
        const val NEAR_BYTES = 600
        const val MIDDLE_STEP = 499
        const val LARGE_BYTES = 120_000
        const val FAULT_CHARACTERS = 400
        const val REPEATS = 100
        const val NANOS_PER_MILLI = 1_000_000

        /** Far below the wait. */
        const val MAXIMUM_MEAN_MILLIS = 10
    }
}
