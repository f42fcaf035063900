package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PeerLoadsTest {
    private var nowMillis = 0L
    private val loads = PeerLoads { nowMillis }
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
    ) = PeerReport(sender, start, sequence, "$sender:1", mapOf("engine" to PeerWork(1, tokens)), isLeaving)

    private fun remoteTokens(): Long {
        loads.apply(listOf(replica))
        return replica.load.remoteTokens
    }

    @Test
    fun `the work of all other instances adds up`() {
        loads.receive(report("b", 1, 300))
        loads.receive(report("c", 1, 40))
        assertEquals(340, remoteTokens())
        assertEquals(3, loads.instanceCount)
    }

    @Test
    fun `a report that was overtaken changes nothing`() {
        assertTrue(loads.receive(report("b", 2, 300)))
        assertFalse(loads.receive(report("b", 1, 900)))
        assertEquals(300, remoteTokens())
    }

    @Test
    fun `a restarted instance replaces what it reported before`() {
        loads.receive(report("b", 70, 300, start = 1))
        assertTrue(loads.receive(report("b", 1, 5, start = 2)))
        assertEquals(5, remoteTokens())
    }

    @Test
    fun `an instance that fell silent or left counts no more`() {
        loads.receive(report("b", 1, 300))
        loads.receive(report("c", 1, 40))
        loads.receive(report("c", 2, 0, isLeaving = true))
        assertEquals(300, remoteTokens())
        nowMillis = 3_600
        assertEquals(0, remoteTokens())
        assertEquals(1, loads.instanceCount)
    }
}
