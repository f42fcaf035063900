package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.PeerWork
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketTimeoutException

/** Load messages that an instance receives from others as datagrams. */
class LoadMessageTest {
    private val fixture = RelayFixture()

    @AfterEach
    fun close() = fixture.close()

    // The totals of a large fleet exceed the receive buffer that datagram channels have by default.
    @Test
    fun `a load message that lists the replicas of a large deployment is read whole`() {
        val port = FreePorts.allocate()
        fixture.configure()
        fixture.startOnPort(port)
        val work = (1..REPLICAS).associate { "i-%010d".format(it) to PeerWork(running = 24, tokens = 34_000) }
        val endpoint = "127.0.0.1:${FreePorts.allocate()}"
        val report = PeerReport("entry-2", start = 1, sequence = 1, endpoint, work, zone = "a")
        val bytes = report.encode().toByteArray()
        assertTrue(bytes.size > DEFAULT_RECEIVE_BYTES)
        DatagramSocket().use { socket ->
            RelayFixture.awaitTrue("the sender is known") {
                socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), port))
                fixture.daemon.liveInstances == 2
            }
        }
    }

    private fun DatagramSocket.send(
        text: String,
        port: Int,
    ) = text.toByteArray().let { send(DatagramPacket(it, it.size, InetAddress.getLoopbackAddress(), port)) }

    /** Whether a load report arrives that was sent after this call. */
    private fun DatagramSocket.receivesReport(): Boolean {
        val packet = DatagramPacket(ByteArray(MAXIMUM_BYTES), MAXIMUM_BYTES)
        try {
            soTimeout = 1
            while (true) receive(packet)
        } catch (_: SocketTimeoutException) {
            soTimeout = REPORT_MILLIS
        }
        return try {
            receive(packet)
            true
        } catch (_: SocketTimeoutException) {
            false
        }
    }

    // A destination that cannot be addressed ended the loop that sends load reports, and a host name blocks it.
    @Test
    fun `messages that name no valid address do not stop the load reports`() {
        val port = FreePorts.allocate()
        fixture.configure()
        fixture.startOnPort(port)
        DatagramSocket(0, InetAddress.getLoopbackAddress()).use { socket ->
            val endpoint = "127.0.0.1:${socket.localPort}"
            RelayFixture.awaitTrue("the sender is known") {
                socket.send(
                    PeerReport("entry-2", 1, System.nanoTime(), endpoint, emptyMap(), zone = "a").encode(),
                    port,
                )
                fixture.daemon.liveInstances == 2
            }
            for ((number, address) in INVALID_ADDRESSES.withIndex()) {
                socket.send(PeerReport("odd-$number", 1, 1, address, emptyMap(), zone = "a").encode(), port)
                socket.send(
                    PeerReport("entry-2", 1, System.nanoTime(), endpoint, emptyMap(), zone = "a").encode(),
                    port,
                )
                Thread.sleep(SETTLE_MILLIS)
                assertTrue(socket.receivesReport(), "no load report after the address $address")
            }
            assertEquals(2, fixture.daemon.liveInstances)
        }
    }

    private companion object {
        val INVALID_ADDRESSES =
            listOf(
                "127.0.0.1:0",
                "127.0.0.1:70000",
                "127.0.0.1:-1",
                "no-such-host.invalid:7000",
                ":7000",
                "127.0.0.256:7000",
            )
        const val MAXIMUM_BYTES = 65_507
        const val REPORT_MILLIS = 3_000

        /** Several ticks of the loop that sends load reports. */
        const val SETTLE_MILLIS = 300L
        const val REPLICAS = 600
        const val DEFAULT_RECEIVE_BYTES = 2_048
    }
}
