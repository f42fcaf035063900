package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.rollout.RolloutReport
import io.sequoiawheel.core.rollout.RolloutShare
import io.sequoiawheel.core.rollout.RolloutStage
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LoadExchangeTest {
    private var nowMillis = 0L
    private val self = Peer("a", ZoneName("east"), Endpoint("10.0.0.1", 1))
    private val loads = LoadExchange(self, start = 1) { nowMillis }
    private val replica =
        Replica(
            ReplicaEntry(
                InstanceId("engine"),
                ServiceName("writers"),
                "127.0.0.1",
                1,
                ZoneName("a"),
                1,
                false,
                0,
                1,
            ),
        ) { nowMillis }

    private fun report(
        sender: String,
        sequence: Long,
        tokens: Long,
        start: Long = 1,
        isLeaving: Boolean = false,
    ) = PeerReport(
        sender,
        start,
        sequence,
        "$sender:1",
        mapOf("engine" to PeerWork(1, tokens)),
        isLeaving,
        "east",
    )

    private fun remoteTokens(): Long {
        loads.apply(listOf(replica))
        return replica.load.remoteTokens
    }

    @Test
    fun `the load of all other instances is summed`() {
        loads.receive(report("b", 1, 300))
        loads.receive(report("c", 1, 40))
        assertEquals(340, remoteTokens())
        assertEquals(3, loads.instanceCount)
    }

    private fun versions(
        service: String,
        received: Int,
        stage: RolloutStage = RolloutStage.CANARY,
    ) = RolloutReport(listOf(RolloutShare(service, "v2", 7, 12_000, 0, stage, received = received)))

    // A bad version was completed because the instances that had seen its failures ended or restarted.
    @Test
    fun `what an instance that ended knew of a rollout still counts`() {
        loads.receive(report("b", 1, 300).copy(versions = versions("desk", 5)))
        loads.receive(report("c", 1, 300).copy(versions = versions("desk", 3)))
        loads.receive(report("b", 1, 300, start = 2).copy(versions = versions("desk", 1)))
        loads.ownVersions = versions("desk", 10)
        assertEquals(listOf(19), loads.knownVersions().shares.map { it.received })
        nowMillis = 5_000
        loads.receive(report("b", 2, 300, start = 2).copy(versions = versions("desk", 2)))
        assertEquals(listOf(20), loads.knownVersions().shares.map { it.received })
        loads.receive(report("b", 3, 300, start = 2, isLeaving = true).copy(versions = versions("desk", 2)))
        assertEquals(listOf(20), loads.knownVersions().shares.map { it.received })
        loads.ownVersions = versions("desk", 10, RolloutStage.REVERTED)
        assertEquals(listOf(10), loads.knownVersions().shares.map { it.received })
    }

    // A request that was held by an old load must be recognizable in the log.
    @Test
    fun `the age of the newest load message is known until it expires`() {
        assertEquals(null, loads.loadAgeMillis)
        loads.receive(report("b", 1, 300))
        nowMillis = 700
        loads.receive(report("c", 1, 40))
        nowMillis = 1_000
        assertEquals(300, loads.loadAgeMillis)
        nowMillis = 5_000
        assertEquals(null, loads.loadAgeMillis)
    }

    @Test
    fun `a reordered older report is ignored`() {
        loads.receive(report("b", 2, 300))
        loads.receive(report("b", 1, 900))
        assertEquals(300, remoteTokens())
    }

    @Test
    fun `a report after a restart replaces the earlier one`() {
        loads.receive(report("b", 70, 300, start = 1))
        loads.receive(report("b", 1, 5, start = 2))
        assertEquals(5, remoteTokens())
    }

    @Test
    fun `a report of an instance that restarted with its clock set back is accepted`() {
        loads.receive(report("b", 70, 300, start = 5_000))
        nowMillis = 4_000
        loads.receive(report("b", 1, 5, start = 3_000))
        assertEquals(5, remoteTokens())
    }

    @Test
    fun `an instance that fell silent or left is no longer counted`() {
        loads.receive(report("b", 1, 300))
        loads.receive(report("c", 1, 40))
        loads.receive(report("c", 2, 0, isLeaving = true))
        assertEquals(300, remoteTokens())
        nowMillis = 3_600
        assertEquals(0, remoteTokens())
        assertEquals(1, loads.liveCount())
    }

    @Test
    fun `silent instances still count in the shares of common limits`() {
        loads.receive(report("b", 1, 300))
        loads.receive(report("c", 1, 40))
        assertEquals(3, loads.instanceCount)
        nowMillis = 60_000
        assertEquals(1, loads.liveCount())
        assertEquals(3, loads.instanceCount)
    }

    @Test
    fun `the largest fleet is assumed before any other instance is known`() {
        assertEquals(340, loads.instanceCount)
        loads.addListedPeers(emptyList())
        assertEquals(1, loads.instanceCount)
    }

    @Test
    fun `messages are decoded as they were encoded`() {
        val work = mapOf("engine" to PeerWork(2, 300, 70))
        val messages =
            listOf(
                PeerReport("a", 1, 2, "10.0.0.1:1", work, isLeaving = true, zone = "east", wantsTotals = true),
                ZoneReport("a", 1, 2, "10.0.0.1:1", "east", 19, work),
                FleetReport("a", 1, 2, "10.0.0.1:1", "east", 95, work, mapOf("b" to 7), mapOf("b" to "10.0.0.2:1")),
            )
        assertEquals(messages, messages.map { PeerMessage.decode(it.encode()) })
    }

    // Copies that other instances keep at a replica fill it as much as generations do.
    @Test
    fun `the copies of other instances are known`() {
        val other = LoadExchange(Peer("b", ZoneName("east"), Endpoint("10.0.0.2", 1)), start = 1) { nowMillis }
        other.addListedPeers(listOf(self))
        val work = mapOf("engine" to PeerWork(1, 300, copies = 2), "idle" to PeerWork(0, 0, copies = 1))
        val text =
            other
                .tick(work)
                .single()
                .message
                .encode()
        loads.receive(PeerMessage.decode(text))
        loads.apply(listOf(replica))
        assertEquals(2, replica.load.remoteCopies)
        assertEquals(1, replica.load.remoteRunning)
        assertTrue(text.contains(""""cp":{"engine":2,"idle":1}"""), text)
    }

    @Test
    fun `copies are decoded with the work of all messages, and instances without copies send none`() {
        val work = mapOf("engine" to PeerWork(2, 300, 70, copies = 3))
        val messages =
            listOf(
                PeerReport("a", 1, 2, "10.0.0.1:1", work, copies = work.copies()),
                ZoneReport("a", 1, 2, "10.0.0.1:1", "east", 19, work, copies = work.copies()),
                FleetReport("a", 1, 2, "10.0.0.1:1", "east", 95, work, mapOf("b" to 7), copies = work.copies()),
            )
        assertEquals(messages, messages.map { PeerMessage.decode(it.encode()) })
        assertFalse(report("b", 1, 300).encode().contains("cp"))
        val wrong = messages.first().encode().replace(""""cp":{"engine":3}""", """"cp":{"engine":-3}""")
        assertThrows(SerializationException::class.java) { PeerMessage.decode(wrong) }
    }

    @Test
    fun `decoding load with too few values fails`() {
        val text = report("b", 1, 300).encode().replace("[1,300,0]", "[1,300]")
        assertThrows(SerializationException::class.java) { PeerMessage.decode(text) }
    }

    @Test
    fun `an announced leave is sent immediately, applied by the receiver, and expires`() {
        loads.addListedPeers(listOf(Peer("b", ZoneName("east"), Endpoint("10.0.0.2", 1))))
        loads.tick(emptyMap())
        assertEquals(emptyList<OutgoingMessage>(), loads.tick(emptyMap()))
        val sending = loads.tick(emptyMap(), leaving = mapOf("engine" to 1L)).single()
        val told = PeerMessage.decode(sending.message.encode())
        val other = LoadExchange(Peer("b", ZoneName("east"), Endpoint("10.0.0.2", 1)), start = 1) { nowMillis }
        other.receive(told)
        assertEquals(mapOf("engine" to 1L), other.leavingReportedByPeers)
        nowMillis = 4_000
        assertEquals(emptyMap<String, Long>(), other.leavingReportedByPeers)
    }
}
