package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** 20 instances of a zone, and as many of another one, which learn of each other's generations before the totals. */
class StartNoticesTest {
    private var nowMillis = 0L
    private val replica = engine("engine")
    private val sender = exchange("a-3")
    private val receiver = exchange("a-4")

    private fun engine(id: String) =
        Replica(
            ReplicaEntry(InstanceId(id), ServiceName("writers"), "127.0.0.1", 1, ZoneName("a"), 24, false, 0, 1),
        ) { nowMillis }

    private fun peer(name: String) = Peer(name, ZoneName(name.substringBefore('-')), Endpoint("10.0.0.1", 1))

    private fun exchange(
        name: String,
        members: Int = 20,
        reportsSpeed: Boolean = true,
    ): LoadExchange {
        val exchange = LoadExchange(peer(name), start = 1) { nowMillis }
        exchange.addListedPeers(listOf("a", "b").flatMap { zone -> List(members) { peer("$zone-$it") } })
        exchange.receive(totals(emptyMap(), sequence = 1))
        val engine = engine("engine").also { if (reportsSpeed) it.pace.recordFigure(100) }
        exchange.apply(listOf(engine))
        return exchange
    }

    private fun totals(
        members: Map<String, Long>,
        sequence: Long,
        work: WorkByReplica = emptyMap(),
    ) = FleetReport("a-0", 1, sequence, "10.0.0.9:1", "a", 40, work, members)

    private fun remotePrompts(): Long {
        receiver.applyWork(listOf(replica))
        return replica.load.remotePromptTokens
    }

    private fun start(tokens: Long = 2_208): OutgoingMessage? =
        sender.noticeOfStart("engine", PeerWork(1, tokens, 2_200))

    private fun deliver(outgoing: OutgoingMessage) {
        receiver.receive(PeerMessage.decode(outgoing.message.encode()))
    }

    // Two instances that started generations within 250 ms of each other chose the same engine.
    @Test
    fun `a start is known in the zone at once`() {
        val notice = checkNotNull(start())
        assertEquals(19, notice.destinations.size)
        deliver(notice)
        assertEquals(2_200, remotePrompts())
        deliver(checkNotNull(start()))
        assertEquals(4_400, remotePrompts())
    }

    @Test
    fun `a start is counted once when the totals include it`() {
        deliver(checkNotNull(start()))
        sender.tick(mapOf("engine" to PeerWork(1, 2_208, 2_200)))
        receiver.receive(totals(mapOf("a-3" to 1), sequence = 2, mapOf("engine" to PeerWork(1, 2_208, 2_200))))
        assertEquals(2_200, remotePrompts())
    }

    // Starts of two reports in one notice were counted twice beside totals that included the first of them.
    @Test
    fun `a start is counted once beside totals that include an earlier one`() {
        val work = PeerWork(1, 2_208, 2_200)
        deliver(checkNotNull(start()))
        val first =
            sender
                .tick(mapOf("engine" to work))
                .first()
                .message.sequence
        deliver(checkNotNull(start()))
        receiver.receive(totals(mapOf("a-3" to first), sequence = 2, mapOf("engine" to work)))
        assertEquals(4_400, remotePrompts())
    }

    // A notice whose totals are lost must not occupy an engine that has long answered.
    @Test
    fun `a start that the totals never include expires`() {
        deliver(checkNotNull(start()))
        nowMillis = 601
        assertEquals(0, remotePrompts())
    }

    @Test
    fun `a duplicated or reordered notice changes nothing`() {
        val first = checkNotNull(start())
        sender.tick(mapOf("engine" to PeerWork(1, 2_208, 2_200)))
        val second = checkNotNull(start())
        listOf(second, first, second).forEach(::deliver)
        assertEquals(4_400, remotePrompts())
    }

    // An instance of an earlier version must not take a notice for the load of its sender.
    @Test
    fun `a notice is older than any report for those that do not know notices`() {
        val report = checkNotNull(start()).message as PeerReport
        assertTrue(report.isNotNewerThan(sender.tick(emptyMap()).first().message))
        assertFalse(report.wantsTotals)
    }

    @Test
    fun `the bytes of notices are limited`() {
        val sent = List(100) { start() }.count { it != null }
        assertEquals(8, sent)
        assertTrue(sender.announcesStarts)
        assertFalse(sender.knowsStarts)
        nowMillis += 2_400
        assertTrue(start() != null)
    }

    // Deployments whose replicas do not report speeds are served as before.
    @Test
    fun `nothing is sent without reported speeds, in a small fleet, or in a large zone`() {
        val start = PeerWork(1, 2_208, 2_200)
        assertNull(exchange("a-3", reportsSpeed = false).noticeOfStart("engine", start))
        assertNull(exchange("a-3", members = 5).noticeOfStart("engine", start))
        assertNull(exchange("a-3", members = 60).noticeOfStart("engine", start))
    }
}
