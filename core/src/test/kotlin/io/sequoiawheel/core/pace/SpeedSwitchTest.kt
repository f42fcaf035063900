package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.pace.PaceFleet.Companion.LONG
import io.sequoiawheel.core.pace.PaceFleet.Companion.PROFILE
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaSelection
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Selection among 6 engines where no replica, or some, report their speed. */
class SpeedSwitchTest {
    private val fleet = PaceFleet()
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L)
    private val reference = RandomSource.XO_RO_SHI_RO_128_PP.create(3L)
    private val selection = ReplicaSelection(ZoneName("a"), random)
    private val engines = List(6) { fleet.engine("engine-$it") }

    // Guards against deployments without figures being served differently than before.
    @Test
    fun `without a figure each candidate takes one random number, as before`() {
        repeat(5) {
            selection.forGeneration(engines, LONG, PROFILE)
            selection.forCall(engines)
            repeat(2 * engines.size) { reference.nextDouble() }
        }
        assertEquals(reference.nextDouble(), random.nextDouble())
    }

    // Guards against factors that other instances learned switching placement on without any figure.
    @Test
    fun `what streams showed does not count without a figure`() {
        engines.first().pace.applyReport(ObservedFactor(10.0, 100))
        val chosen = List(60) { selection.forGeneration(engines, LONG, PROFILE) }
        assertTrue(chosen.count { it == engines.first() } in 4..20)
    }

    @Test
    fun `plain calls avoid a replica in a slow spell, in proportion to its figure`() {
        for (engine in engines) {
            repeat(10) {
                fleet.nowMillis += 700
                engine.pace.recordFigure(100)
            }
        }
        engines.first().pace.recordFigure(250)
        repeat(30) { checkNotNull(selection.forCall(engines)).load.begin(0) }
        assertTrue(running(engines.first()) < 5, engines.map(::running).toString())
        fleet.nowMillis += 3_000
        repeat(30) { checkNotNull(selection.forCall(engines)).load.begin(0) }
        assertTrue(running(engines.first()) >= 8, engines.map(::running).toString())
    }

    private fun running(replica: Replica) = replica.load.running
}
