package io.sequoiawheel.relay.backend

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.IOException

/**
 * Bytes that follow a whole response and end at any byte of a message, and the next response on the connection. Each
 * case runs through all places at which the stray bytes may end.
 */
class StrayBytesTest {
    /** What the stray bytes are the beginning of. */
    enum class Stray(
        val text: String,
    ) {
        REPEATED_RESPONSE(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: id-1\r\n" +
                "X-Response-Signature: signed\r\nContent-Length: 5\r\n\r\nfirst",
        ),
        RESPONSE_WITHOUT_ID("HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\nContent-Length: 5\r\n\r\nfirst"),
        CHUNKED_RESPONSE(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: id-1\r\n" +
                "X-Response-Signature: signed\r\n\r\n5;extension=1\r\nfirst\r\n0\r\nTrailer: 1\r\n\r\n",
        ),
        INTERIM_RESPONSE("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Request-Id: id-1\r\n\r\n"),
        RESPONSE_WITHOUT_BODY("HTTP/1.1 204 No Content\r\nX-Request-Id: id-1\r\nX-Response-Signature: signed\r\n\r\n"),
        CHUNKS("5\r\nfirst\r\n0\r\nTrailer: 1\r\n\r\n"),
        BLANK_LINES("\r\n\r\n\r\n"),
        SPACES("    "),
        JUNK("first {}<>:/ HTTP/1.1 and \u0000\u0001 others\r\n"),
    }

    private class Connection {
        private val channel = EmbeddedChannel()
        private val decoder = ResponseDecoder()
        val backend = BackendConnection(channel, decoder, Clock { 0L }, ResponseMemoryBudget())

        init {
            channel.pipeline().addLast(decoder, backend)
        }

        fun send(requestId: String?) {
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a", Unpooled.EMPTY_BUFFER)
            requestId?.let { request.headers().set("X-Request-Id", it) }
            runBlocking { backend.send(request) }
        }

        fun receive(text: String) {
            if (text.isNotEmpty()) channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
        }

        /** Returns the status and the body of the response to [requestId], or null if there is no valid one. */
        fun response(requestId: String?): Pair<Int, String>? =
            try {
                runBlocking {
                    withTimeout(RESPONSE_MILLIS) {
                        val head = backend.receiveHead(requestId)
                        head.status().code() to String(backend.receiveBody())
                    }
                }
            } catch (expected: IOException) {
                null
            } catch (expected: TimeoutCancellationException) {
                null
            }
    }

    private fun response(
        status: String,
        requestId: String,
        body: String,
    ) = "HTTP/1.1 $status\r\nX-Request-Id: $requestId\r\nContent-Length: ${body.length}\r\n\r\n$body"

    /** Runs [check] with each beginning of [stray], the empty one included. */
    private fun forEachEnd(
        stray: Stray,
        check: (String) -> Unit,
    ) = (0..stray.text.length).forEach { check(stray.text.take(it)) }

    private fun firstExchange(
        following: String,
        requestId: String? = "id-1",
    ): Pair<Connection, Boolean> {
        val connection = Connection()
        connection.send(requestId)
        connection.receive(response("200 OK", "id-1", "first") + following)
        assertEquals(200 to "first", connection.response(requestId))
        return connection to connection.backend.complete()
    }

    // A beginning of a head that arrived with a response stayed in the decoder and became that of the next response.
    @ParameterizedTest
    @EnumSource
    fun `a connection is not reused if any byte arrives with the end of a response`(stray: Stray) =
        forEachEnd(stray) { following ->
            assertEquals(following.isEmpty(), firstExchange(following).second, "with '$following'")
        }

    // Connections to the store and to other instances carry no ids at all.
    @ParameterizedTest
    @EnumSource
    fun `a connection without request ids is not reused if any byte arrives with the end of a response`(stray: Stray) =
        forEachEnd(stray) { following ->
            assertEquals(following.isEmpty(), firstExchange(following, requestId = null).second, "with '$following'")
        }

    @ParameterizedTest
    @EnumSource
    fun `a connection is closed when any byte arrives between two requests`(stray: Stray) =
        forEachEnd(stray) { following ->
            val (connection, isReusable) = firstExchange("")
            assertTrue(isReusable)
            connection.receive(following)
            assertEquals(following.isEmpty(), connection.backend.isOpen, "after '$following'")
        }

    // Stray bytes may also be received after the next request was sent, at once or together with its response.
    @ParameterizedTest
    @EnumSource
    fun `the response to the next request is its own or invalid if any byte precedes it`(stray: Stray) {
        val own = 500 to "second"
        for (isTogether in listOf(true, false)) {
            forEachEnd(stray) { following ->
                val (connection, _) = firstExchange("")
                connection.send("id-2")
                val response = response("500 Internal Server Error", "id-2", "second")
                if (isTogether) {
                    connection.receive(following + response)
                } else {
                    connection.receive(following)
                    connection.receive(response)
                }
                val received = connection.response("id-2")
                assertTrue(received == null || received == own) { "$received after '$following'" }
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `the response to the next request is not signed by stray bytes`(stray: Stray) =
        forEachEnd(stray) { following ->
            val (connection, _) = firstExchange("")
            connection.send("id-2")
            connection.receive(following + response("500 Internal Server Error", "id-2", "second"))
            val isSigned =
                try {
                    runBlocking {
                        withTimeout(RESPONSE_MILLIS) {
                            connection.backend
                                .receiveHead("id-2")
                                .headers()
                                .contains("X-Response-Signature")
                        }
                    }
                } catch (expected: IOException) {
                    false
                } catch (expected: TimeoutCancellationException) {
                    false
                }
            assertFalse(isSigned, "after '$following'")
        }

    private companion object {
        /** Everything was received before; a response that is not there yet does not come. */
        const val RESPONSE_MILLIS = 5L
    }
}
