package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.quarantine.PartQuarantine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Load messages of instances of which one starts after the store was restored from an older copy. Guards against a
 * question that reaches no instance that could answer it, and against additional messages in all other cases.
 */
class EraExchangeTest {
    private var nowMillis = 1_000_000L
    private val clock = Clock { nowMillis }

    private inner class Instance(
        val peer: Peer,
    ) {
        val order = ConfigurationOrder(clock, StartInquiry(clock))
        val exchange = LoadExchange(peer, start = nowMillis, clock, PartQuarantine(peer.name, clock), order)
    }

    /** The instances by address; datagrams to other addresses are lost. */
    private val instances = LinkedHashMap<Endpoint, Instance>()
    private val peers =
        (1..FLEET).map { Peer("edge-%02d".format(it), ZoneName("z${it % 3}"), Endpoint("10.0.0.$it", 1)) }
    private var eraMessages = 0
    private var era = 1L

    private fun launch(
        peer: Peer,
        listed: List<Peer>,
        era: Long,
        version: Long,
    ) = Instance(peer).also {
        instances[peer.endpoint] = it
        it.order.observe(era, revision = 1, version)
        it.exchange.addListedPeers(listed)
    }

    private fun tickAll() {
        for (instance in instances.values.toList()) instance.exchange.tick(emptyMap()).forEach(::deliver)
        nowMillis += TICK_MILLIS
    }

    /** Delivers [outgoing] as the text that is sent. */
    private fun deliver(outgoing: OutgoingMessage) {
        val text = outgoing.message.encode()
        if ("\"er\":" in text) eraMessages += outgoing.destinations.size
        for (destination in outgoing.destinations) {
            instances[destination]?.exchange?.receive(PeerMessage.decode(text))?.forEach(::deliver)
        }
    }

    private fun runFleet(count: Int): List<Peer> {
        val members = peers.take(count)
        for (peer in members) launch(peer, members, era = 1, version = 10)
        repeat(TICKS_SETTLED) { tickAll() }
        return members
    }

    /** Restarts [peer] after a restore and returns it after [ticks] ticks. */
    private fun restartAfterRestore(
        peer: Peer,
        members: List<Peer>,
        ticks: Int = 3,
    ): Instance {
        instances.remove(peer.endpoint)
        era++
        for (instance in instances.values) instance.order.observe(era, revision = 1, version = 5)
        val started = launch(peer, members, era, version = 5)
        repeat(ticks) { tickAll() }
        return started
    }

    @Test
    fun `an instance of a small fleet is told of the newer version within three ticks`() {
        val members = runFleet(3)
        assertTrue(restartAfterRestore(members.last(), members).order.isOutdated)
    }

    // In a large fleet the first of a zone reports to no other instance, and the others report to an aggregator only.
    @Test
    fun `every instance of a large fleet is told of the newer version, also the first of its zone`() {
        val members = runFleet(FLEET)
        for (peer in members.take(4) + members.last()) {
            assertTrue(restartAfterRestore(peer, members).order.isOutdated, peer.name)
        }
    }

    @Test
    fun `an instance is told of the newer version although half of the others have terminated`() {
        val members = runFleet(FLEET)
        members.filterIndexed { index, _ -> index % 2 == 0 }.forEach { instances.remove(it.endpoint) }
        assertTrue(restartAfterRestore(members.first(), members).order.isOutdated)
    }

    @Test
    fun `a lost first question is asked again`() {
        val members = runFleet(2)
        val other = checkNotNull(instances.remove(members.first().endpoint))
        other.order.observe(era = 2, revision = 1, version = 5)
        val started = restartAfterRestore(members.last(), members, ticks = 1)
        assertFalse(started.order.isOutdated)
        instances[other.peer.endpoint] = other
        tickAll()
        assertTrue(started.order.isOutdated)
    }

    // Other fields of the messages are those of the reports before, and only a start adds messages.
    @Test
    fun `running instances send no question and no answer, and an ordinary start sends eight`() {
        val members = runFleet(FLEET)
        eraMessages = 0
        nowMillis += HOUR_MILLIS
        repeat(TICKS_SETTLED) { tickAll() }
        assertEquals(0, eraMessages)
        val started = launch(members.first(), members, era = 1, version = 10)
        tickAll()
        assertTrue(started.order.confirmsCurrent(nowMillis))
        repeat(TICKS_SETTLED) { tickAll() }
        assertEquals(16, eraMessages, "eight questions and their answers")
    }

    private companion object {
        const val FLEET = 95
        const val TICK_MILLIS = 100L
        const val TICKS_SETTLED = 40
        const val HOUR_MILLIS = 3_600_000L
    }
}
