package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Selects hubs in a fleet of three zones with 25 instances each. */
class HubSelectionTest {
    private var nowMillis = 0L
    private val peers =
        listOf("a", "b", "c").flatMap { zone ->
            (10..34).map { Peer("entry-$zone-$it", ZoneName(zone), Endpoint("10.0.0.$it", 7_000)) }
        }
    private val gone = HashSet<Peer>()
    private val refusing = HashSet<Peer>()
    private val selections =
        peers.associateWith { own ->
            HubSelection(
                own.name,
                own.zone,
                { nowMillis },
                RandomSource.XO_RO_SHI_RO_128_PP.create(peers.indexOf(own).toLong()),
            ) { peers.filter { it != own && it !in gone } }
        }

    /** Lets all live instances select and contact a hub once; returns the instances that watch the store, by zone. */
    private fun round(): Map<ZoneName, List<Peer>> {
        nowMillis += 1_000
        val alive = selections.filterKeys { it !in gone }
        val direct = ArrayList<Peer>()
        for ((own, selection) in alive) {
            val hub = selection.current()
            when {
                hub == null -> direct += own
                hub in gone || hub in refusing || selections.getValue(hub).current() != null -> selection.abandon(hub)
                else -> selections.getValue(hub).recordWatcher()
            }
        }
        return direct.groupBy { it.zone }
    }

    @Test
    fun `one instance of each zone watches the store`() {
        val watchers = round()
        assertEquals(listOf(1, 1, 1), watchers.values.map { it.size })
        assertEquals(watchers, round())
    }

    @Test
    fun `another instance replaces a lost hub`() {
        val first = round().getValue(ZoneName("a")).single()
        gone += first
        repeat(12) { round() }
        val next = round().getValue(ZoneName("a"))
        assertEquals(1, next.size)
        assertTrue(next.single() != first)
    }

    @Test
    fun `a hub that is alive but refuses watches is replaced`() {
        val first = round().getValue(ZoneName("a")).single()
        refusing += first
        repeat(10) { round() }
        val others = round().getValue(ZoneName("a")) - first
        assertEquals(1, others.size)
    }

    @Test
    fun `a hub that returns does not displace its successor`() {
        val first = round().getValue(ZoneName("a")).single()
        gone += first
        repeat(12) { round() }
        val second = round().getValue(ZoneName("a")).single()
        gone -= first
        repeat(12) { round() }
        val watchers = round().getValue(ZoneName("a"))
        assertTrue(second in watchers && watchers.size <= 2, "$watchers")
    }

    @Test
    fun `one of two instances in a zone watches the store, and a remaining single instance does as well`() {
        val zone = peers.filter { it.zone == ZoneName("a") }
        gone += zone.drop(2)
        assertEquals(listOf(zone.first()), round().getValue(ZoneName("a")))
        gone += zone.first()
        repeat(4) { round() }
        assertEquals(listOf(zone[1]), round().getValue(ZoneName("a")))
    }

    @Test
    fun `an instance that others watch watches the store itself`() {
        val last = selections.getValue(peers.last())
        assertTrue(last.current() != null)
        last.recordWatcher()
        assertNull(last.current())
    }
}
