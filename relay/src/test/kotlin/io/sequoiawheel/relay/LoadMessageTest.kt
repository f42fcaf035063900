package io.sequoiawheel.relay

import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.PeerWork
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress

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

    private companion object {
        const val REPLICAS = 600
        const val DEFAULT_RECEIVE_BYTES = 2_048
    }
}
