package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.core.relay.RolloutBounds
import io.sequoiawheel.core.rollout.RolloutGate
import io.sequoiawheel.core.rollout.RolloutOrder
import io.sequoiawheel.core.rollout.RolloutStage
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What an instance sends to a new version, during the shift, when it loses others or time; without a network. */
class RolloutContactTest {
    private var nowMillis = 0L
    private var sequence = 0L
    private val bounds = RolloutBounds(canaryShare = 0.1, canaryMargin = 50, rollbackMillis = 5_000)
    private val loads = LoadExchange(Peer("a-1", ZoneName("a"), Endpoint("10.0.0.1", 1)), start = 1) { nowMillis }
    private val freshness = Freshness({ nowMillis }, { nowMillis }, limitMillis = 3_900)
    private val contact = RolloutContact(bounds, loads, freshness) { nowMillis }
    private val gate =
        RolloutGate(bounds, { nowMillis }, RandomSource.XO_RO_SHI_RO_128_PP.create(7L), loads::instanceCount) {
            contact.isPresent
        }
    private val old = replica("old", "v1")
    private val new = replica("new", "v2")

    init {
        gate.observe(listOf(old))
        gate.begin(RolloutOrder(SERVICE, "v2", durationMillis = 60_000, revision = 6), RolloutStage.SHIFTING)
    }

    private fun replica(
        id: String,
        version: String,
    ) = Replica(ReplicaEntry(InstanceId(id), SERVICE, "127.0.0.1", 1, ZoneName("a"), 6, false, 0, 1, version)) {
        nowMillis
    }

    /** Lets time pass, in which reports of the instances of [zones] arrive, three of each, and the store is or not. */
    private fun pass(
        millis: Long,
        zones: String,
        hasStore: Boolean,
    ) {
        val end = nowMillis + millis
        while (nowMillis < end) {
            nowMillis += INTERVAL_MILLIS
            if (hasStore) freshness.confirm(freshness.now())
            sequence++
            for (name in zones.flatMap { zone -> (1..3).map { "$zone-$it" } } - "a-1") {
                loads.receive(
                    PeerReport(name, 1, sequence, "10.0.0.2:1", emptyMap(), zone = name.take(1)),
                )
            }
        }
    }

    // A zone that was cut off went on to send to a version that the rest of the fleet had found bad.
    @Test
    fun `an instance of a partitioned zone sends nothing to the new version and recovers`() {
        pass(2_000, zones = "abc", hasStore = true)
        assertTrue(gate.tryAdmit(new))
        pass(4_000, zones = "a", hasStore = false)
        repeat(20) {
            assertFalse(gate.mayReceive(new), "after $nowMillis ms")
            assertTrue(gate.tryAdmit(old))
            pass(1_000, zones = "a", hasStore = false)
        }
        pass(200, zones = "abc", hasStore = false)
        assertTrue(gate.tryAdmit(new))
    }

    // The larger part would have stopped the rollout because a small part was missing.
    @Test
    fun `instances that lost one of three zones go on`() {
        pass(2_000, zones = "abc", hasStore = true)
        repeat(20) {
            pass(1_000, zones = "ab", hasStore = false)
            assertTrue(gate.tryAdmit(new), "after $nowMillis ms")
        }
    }

    // A process that resumed sent to a version that had been reverted meanwhile, by what it knew before it froze.
    @Test
    fun `an instance that freezes and resumes sends nothing to the new version before it has news`() {
        pass(2_000, zones = "abc", hasStore = true)
        nowMillis += 6_000
        assertFalse(gate.mayReceive(new))
        assertTrue(gate.tryAdmit(old))
        pass(200, zones = "abc", hasStore = true)
        assertTrue(gate.tryAdmit(new))
    }

    private companion object {
        val SERVICE = ServiceName("desk")
        const val INTERVAL_MILLIS = 100L
    }
}
