package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.PeerWork
import io.sequoiawheel.core.relay.Replica
import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Two instances that see one engine; each receives a request every two seconds or so. */
class SpeedExchangeTest {
    private val fleet = PaceFleet()
    private val first = Instance("first", "10.0.0.1")
    private val second = Instance("second", "10.0.0.2")

    private inner class Instance(
        name: String,
        host: String,
    ) {
        val exchange = LoadExchange(Peer(name, ZoneName("a"), Endpoint(host, 1)), start = 1) { fleet.nowMillis }
        var engine: Replica = fleet.engine("engine")

        init {
            exchange.apply(listOf(engine))
        }

        fun tick(): List<PeerMessage> {
            exchange.apply(listOf(engine))
            return exchange.tick(emptyMap()).map { PeerMessage.decode(it.message.encode()) }
        }
    }

    private fun exchangeMessages(): List<PeerMessage> {
        fleet.nowMillis += 100
        val messages = first.tick()
        messages.forEach(second.exchange::receive)
        second.exchange.apply(listOf(second.engine))
        return messages
    }

    @Test
    fun `an instance that received no response knows the speed within one message`() {
        exchangeMessages()
        first.engine.pace.recordFigure(250)
        exchangeMessages()
        assertTrue(second.engine.pace.isKnown)
        assertEquals(
            250,
            second.engine.pace.figure
                ?.hundredths,
        )
    }

    @Test
    fun `what streams showed reaches the other instances and is not reported back as theirs`() {
        first.engine.pace.recordFigure(100)
        repeat(30) { first.engine.pace.recordObservation(0.55) }
        exchangeMessages()
        assertEquals(0.55, second.engine.pace.usual(), 0.05)
        fleet.nowMillis += 1_000
        assertTrue(second.tick().all { it.speeds.isEmpty() })
    }

    // Guards against traffic between zones for figures that tell nothing new.
    @Test
    fun `an unchanged speed is repeated once in 20 s`() {
        var entries = 0
        repeat(400) {
            first.engine.pace.recordFigure(100)
            entries += exchangeMessages().sumOf { it.speeds.size }
        }
        assertTrue(entries in 2..4, "$entries entries in 40 s")
    }

    // Guards against the pace of the last incarnation being applied to a replica that restarted.
    @Test
    fun `a report about an earlier incarnation is not applied`() {
        second.engine = fleet.engine("engine", startedAtMillis = 2)
        second.exchange.apply(listOf(second.engine))
        first.engine.pace.recordFigure(250)
        exchangeMessages()
        assertFalse(second.engine.pace.isKnown)
    }

    // Guards against instances of two versions that cannot read each other's messages during an update.
    @Test
    fun `messages without speeds are as before, and older messages are read`() {
        val report = PeerReport("b", 1, 1, "b:1", mapOf("engine" to PeerWork(1, 300)))
        assertFalse("\"sp\"" in report.encode())
        assertEquals(report, PeerMessage.decode(report.encode()))
        val told = report.copy(speeds = mapOf("engine" to ReportedSpeed(1, 55, 30, 250, 80)))
        assertTrue(""""sp":{"engine":[1,55,30,250,80]}""" in told.encode(), told.encode())
        assertEquals(told, PeerMessage.decode(told.encode()))
    }

    @Test
    fun `a speed out of range is rejected`() {
        for (values in listOf("[1,55]", "[1,55,30,-1,0]", "[1,55,30,250,9999999999]")) {
            val text = """{"type":"i","i":"b","s":1,"n":1,"e":"b:1","w":{},"sp":{"engine":$values}}"""
            assertThrows(SerializationException::class.java, { PeerMessage.decode(text) }, values)
        }
    }
}
