package io.sequoiawheel.relay

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A replica that accepts connections and reads nothing, beside one that works. */
class UnreadRequestTest {
    private val fixture = RelayFixture()
    private val accepted = CopyOnWriteArrayList<Socket>()
    private val deaf = ServerSocket()

    @AfterEach
    fun close() {
        deaf.close()
        accepted.forEach { it.close() }
        fixture.close()
    }

    private fun start() {
        deaf.receiveBufferSize = RECEIVE_BYTES
        deaf.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        thread(isDaemon = true) { runCatching { while (true) accepted += deaf.accept() } }
        val entry =
            """{"svc":"${RelayFixture.PLAIN}","addr":"127.0.0.1:${deaf.localPort}","zone":"a","version":"v1","slots":6,
              "state":"ready","warmup_left_ms":0,"seq":1,"born":1}"""
        fixture.store.put("servers", "deaf", Json.parseToJsonElement(entry))
        fixture.configure(timeoutMillis = CALL_MILLIS, bodyBytes = BODY_BYTES)
        fixture.start()
    }

    private fun call(id: String) =
        fixture.send(fixture.request("/unsafe/a", id, body = "x".repeat(BODY_BYTES))).lineSequence().first()

    // A call that a replica read in part may have run: it is not sent to another one, and not answered with a proof.
    @Test
    fun `a call that was cut off within its request is not sent again`() {
        start()
        thread(isDaemon = true) {
            RelayFixture.awaitTrue("the call arrives") { accepted.isNotEmpty() }
            Thread.sleep(CUT_MILLIS)
            accepted.first().setSoLinger(true, 0)
            accepted.first().close()
        }
        assertEquals("HTTP/1.1 502 Bad Gateway", call("id-1"))
        assertEquals(1, accepted.size)
        assertNothingUnread()
    }

    // Calls went on to a replica that read none of them, until the memory was used up.
    @Test
    fun `calls pass over a replica that does not read them`() {
        start()
        val first = thread { call("id-1") }
        RelayFixture.awaitTrue("the replica does not read") { fixture.gauge("replicas_not_reading") == 1L }
        assertTrue(fixture.gauge("replicas_unread_request_bytes") <= BODY_BYTES + HEAD_BYTES)
        fixture.replica("p-1", RelayFixture.PLAIN) { request, answer -> answer.sendComplete(request, "worked") }
        RelayFixture.awaitTrue("a call is answered") { call("id-2").endsWith("200 OK") }
        repeat(CALLS) { assertEquals("HTTP/1.1 200 OK", call("id-3-$it")) }
        first.join()
        assertNothingUnread()
    }

    private fun assertNothingUnread() =
        RelayFixture.awaitTrue("nothing is left to be read") { fixture.gauge("replicas_unread_request_bytes") == 0L }

    private companion object {
        const val BODY_BYTES = 4_194_304
        const val HEAD_BYTES = 1_024
        const val RECEIVE_BYTES = 16_384
        const val CALL_MILLIS = 3_500
        const val CUT_MILLIS = 500L
        const val CALLS = 10
    }
}
