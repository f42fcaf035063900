package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.PriorityQueue

/**
 * A simulation in virtual time of instances in several zones that start simultaneously and exchange their load over a
 * network that loses datagrams. Each instance starts or ends a generation every few seconds.
 */
private class Fleet(
    val size: Int,
    private val zones: Int = 5,
    private val replicas: Int = 28,
) {
    class Member(
        val peer: Peer,
        val exchange: LoadExchange,
    ) {
        var work: WorkByReplica = emptyMap()
        var isAlive = true
        var sentDatagrams = 0L
        var sentBytes = 0L
        var receivedBytes = 0L
    }

    private class Packet(
        val atMillis: Long,
        val number: Long,
        val from: Member,
        val to: Endpoint,
        val message: PeerMessage,
        val bytes: Int,
    )

    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)
    private val packets = PriorityQueue<Packet>(compareBy({ it.atMillis }, { it.number }))
    private var packetNumber = 0L
    var nowMillis = 0L

    /** Whether datagrams from the first zone to the second are lost. */
    var isPartitioned: (ZoneName, ZoneName) -> Boolean = { _, _ -> false }

    val members =
        List(size) { index ->
            val peer = Peer("entry-%03d".format(index), ZoneName("zone-${index % zones}"), Endpoint("h$index", 1))
            Member(peer, LoadExchange(peer, start = 1) { nowMillis })
        }
    private val byEndpoint = members.associateBy { it.peer.endpoint }
    private val directory =
        List(replicas) { index ->
            val entry =
                ReplicaEntry(
                    InstanceId("replica-$index"),
                    ServiceName("writers"),
                    "h",
                    1,
                    ZoneName("zone-0"),
                    24,
                    false,
                    0,
                    1,
                )
            Replica(entry) { nowMillis }
        }

    val alive: List<Member> get() = members.filter { it.isAlive }

    init {
        members.forEach { member -> member.exchange.addListedPeers(members.map { it.peer }) }
    }

    fun run(millis: Long) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            nowMillis++
            alive.forEachIndexed { index, member ->
                if (nowMillis % TICK_MILLIS == index % TICK_MILLIS) tick(member)
            }
            while (packets.isNotEmpty() && packets.peek().atMillis <= nowMillis) deliver(packets.poll())
        }
    }

    private fun tick(member: Member) {
        if (random.nextDouble() < CHANGE_SHARE) {
            val replica = "replica-${random.nextInt(replicas)}"
            member.work = if (member.work.isEmpty()) mapOf(replica to PeerWork(1, TOKENS)) else emptyMap()
        }
        member.exchange.tick(member.work).forEach { send(member, it) }
    }

    private fun send(
        member: Member,
        sending: OutgoingMessage,
    ) {
        val bytes = sending.message.encode().length
        for (destination in sending.destinations) {
            member.sentDatagrams++
            member.sentBytes += bytes
            if (random.nextDouble() < LOSS_SHARE) continue
            packets +=
                Packet(nowMillis + 1 + random.nextInt(2), packetNumber++, member, destination, sending.message, bytes)
        }
    }

    private fun deliver(packet: Packet) {
        val receiver = byEndpoint.getValue(packet.to).takeIf { it.isAlive } ?: return
        if (!packet.from.isAlive || isPartitioned(packet.from.peer.zone, receiver.peer.zone)) return
        receiver.receivedBytes += packet.bytes
        receiver.exchange.receive(packet.message).forEach { send(receiver, it) }
    }

    /** Returns the error of the other instances' tokens as known to [member], relative to their actual total. */
    fun error(member: Member): Double {
        member.exchange.apply(directory)
        val real = alive.filter { it !== member }.map { it.work }.sumByReplica()
        val wrong =
            directory.sumOf { replica ->
                val expected = real[replica.entry.id.value]?.tokens ?: 0
                kotlin.math.abs(replica.load.remoteTokens - expected)
            }
        return wrong.toDouble() / real.values.sumOf { it.tokens }.coerceAtLeast(TOKENS)
    }

    fun meanError() = alive.map { error(it) }.average()

    private companion object {
        const val SEED = 7L
        const val TICK_MILLIS = 100L
        const val TOKENS = 4_000L

        /** Probability per tick; yields a change about every four seconds. */
        const val CHANGE_SHARE = 0.025
        const val LOSS_SHARE = 0.01
    }
}

/** Load exchange in fleets of up to 340 instances: simultaneous start, loss of instances, and a zone partition. */
class LargeFleetTest {
    private fun settled(size: Int) = Fleet(size).apply { run(SETTLE_MILLIS) }

    private fun datagramsPerSecond(fleet: Fleet): Double {
        val before = fleet.members.sumOf { it.sentDatagrams }
        fleet.run(WINDOW_MILLIS)
        return (fleet.members.sumOf { it.sentDatagrams } - before) * 1_000.0 / WINDOW_MILLIS / fleet.size
    }

    @Test
    fun `the datagram rate of an instance does not grow with the fleet`() {
        val small = datagramsPerSecond(settled(95))
        val large = datagramsPerSecond(settled(340))
        assertTrue(large <= small * 1.2) { "$small a second at 95 instances, $large at 340" }
    }

    @Test
    fun `no instance receives more bytes than its limit`() {
        val fleet = settled(340)
        val before = fleet.members.map { it.receivedBytes }
        fleet.run(WINDOW_MILLIS)
        val perSecond = fleet.members.zip(before) { member, bytes -> (member.receivedBytes - bytes) / 10 }.sorted()
        assertTrue(perSecond[perSecond.size / 2] <= MEMBER_BYTES_PER_SECOND) { "${perSecond[perSecond.size / 2]}" }
        assertTrue(perSecond.last() <= AGGREGATOR_BYTES_PER_SECOND) { "${perSecond.last()}" }
    }

    @Test
    fun `every instance knows nearly all load of the others`() {
        val fleet = settled(95)
        assertTrue(fleet.meanError() <= ERROR_SHARE) { "${fleet.meanError()}" }
        assertEquals(setOf(95), fleet.alive.map { it.exchange.instanceCount }.toSet())
        assertEquals(setOf(95), fleet.alive.map { it.exchange.liveCount() }.toSet())
    }

    @Test
    fun `an instance does not count its own load as load of the others`() {
        val fleet = settled(95)
        val member = fleet.alive.first { it.work.isNotEmpty() }
        val replica = member.work.keys.single()
        fleet.alive.filter { it !== member && replica in it.work }.forEach { it.isAlive = false }
        fleet.run(SETTLE_MILLIS)
        if (member.work.keys.singleOrNull() == replica) assertTrue(fleet.error(member) <= ERROR_SHARE)
    }

    @Test
    fun `the fleet recovers from the loss of all aggregators within seconds`() {
        val fleet = settled(95)
        fleet.alive
            .groupBy { it.peer.zone }
            .values
            .forEach { zone -> zone.minBy { it.peer.name }.isAlive = false }
        fleet.run(RECOVERY_MILLIS)
        assertTrue(fleet.meanError() <= ERROR_SHARE) { "${fleet.meanError()}" }
        assertEquals(setOf(90), fleet.alive.map { it.exchange.liveCount() }.toSet())
    }

    @Test
    fun `a partitioned zone knows its own load and is included again after the partition`() {
        val fleet = settled(95)
        val zone = ZoneName("zone-2")
        fleet.isPartitioned = { from, to -> (from == zone) != (to == zone) }
        fleet.run(RECOVERY_MILLIS)
        val inside = fleet.alive.first { it.peer.zone == zone }
        assertEquals(19, inside.exchange.liveCount())
        assertEquals(95, inside.exchange.instanceCount)
        fleet.isPartitioned = { _, _ -> false }
        fleet.run(RECOVERY_MILLIS)
        assertTrue(fleet.meanError() <= ERROR_SHARE) { "${fleet.meanError()}" }
    }

    @Test
    fun `the shares of common limits do not grow after the loss of half the fleet`() {
        val fleet = settled(95)
        fleet.members.filterIndexed { index, _ -> index % 2 == 0 }.forEach { it.isAlive = false }
        fleet.run(RECOVERY_MILLIS)
        fleet.alive.forEach { assertTrue(it.exchange.instanceCount >= 95) }
    }

    private companion object {
        const val SETTLE_MILLIS = 6_000L
        const val WINDOW_MILLIS = 10_000L
        const val RECOVERY_MILLIS = 6_000L

        /** The limit on totals plus a tenth for other messages. */
        const val MEMBER_BYTES_PER_SECOND = 8_800L

        /** The reports of a zone, at most 200 bytes each and two per second, plus the sums of four zones. */
        const val AGGREGATOR_BYTES_PER_SECOND = 68 * 400L + 4 * 10_000L

        /** Values of the last second may be missing, and each changes about every four seconds. */
        const val ERROR_SHARE = 0.25
    }
}
