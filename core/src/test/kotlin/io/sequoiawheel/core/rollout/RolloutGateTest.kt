package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.core.relay.RolloutBounds
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RolloutGateTest {
    private val service = ServiceName("desk")
    private val gate =
        RolloutGate(
            RolloutBounds(canaryShare = 0.1, canaryMargin = 0, rollbackMillis = 5_000),
            { 0 },
            RandomSource.XO_RO_SHI_RO_128_PP.create(7L),
            instanceCount = { 95 },
            isInContact = { true },
        )

    private fun replica(
        id: String,
        version: String,
    ) = Replica(ReplicaEntry(InstanceId(id), service, "127.0.0.1", 1, ZoneName("a"), 6, false, 0, 1, version)) { 0 }

    private fun order(version: String) = RolloutOrder(service, version, durationMillis = 12_000, revision = 6)

    // Between the order and its status all requests were refused, since the only version had the budget of a new one.
    @Test
    fun `an order for the version in force holds nothing back`() {
        val replicas = listOf(replica("r-1", "v1"), replica("r-2", "v1"))
        gate.observe(replicas)
        gate.begin(order("v1"), RolloutStage.CANARY)
        repeat(20) {
            assertEquals(listOf(replicas), gate.preferences(service, replicas, isFirst = true))
            assertTrue(replicas.all(gate::tryAdmit))
        }
    }

    // An instance that starts during an order lists both versions at once, and must not take the new one for known.
    @Test
    fun `a new version that was listed before the order is held back`() {
        val old = replica("r-1", "v1")
        val new = replica("r-2", "v2")
        gate.observe(listOf(old, new))
        gate.begin(order("v2"), RolloutStage.CANARY, isLate = true)
        assertTrue(gate.tryAdmit(old))
        assertFalse(gate.mayReceive(new))
        assertEquals(listOf(listOf(old)), gate.preferences(service, listOf(old, new), isFirst = true))
    }

    // Copies and runs went to a version that an earlier order had found bad, once a newer order began.
    @Test
    fun `a version that an earlier order reverted stays held back under a newer one`() {
        val (old, bad, newer) = listOf("v1", "v2", "v3").map { replica("r-$it", it) }
        gate.observe(listOf(old))
        gate.begin(order("v2"), RolloutStage.REVERTED)
        gate.begin(RolloutOrder(service, "v3", durationMillis = 12_000, revision = 9), RolloutStage.CANARY)
        assertTrue(gate.mayReceive(old))
        assertFalse(gate.mayReceive(bad))
        assertFalse(gate.mayMove(old, bad))
        gate.begin(RolloutOrder(service, "v3", durationMillis = 12_000, revision = 9), RolloutStage.REVERTED)
        assertFalse(gate.mayReceive(newer))
        assertFalse(gate.mayReceive(bad))
    }
}
