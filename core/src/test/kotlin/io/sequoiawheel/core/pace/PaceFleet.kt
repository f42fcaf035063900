package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaEntry
import io.sequoiawheel.core.relay.ReplicaSelection
import org.apache.commons.rng.simple.RandomSource

/** Engines as the instances see them, with a clock that the test sets. */
internal class PaceFleet(
    seed: Long = 7L,
    areStartsKnown: Boolean = true,
) {
    var nowMillis = 0L
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val selection = ReplicaSelection(ZoneName("a"), random) { areStartsKnown }

    fun engine(
        id: String,
        zone: String = "a",
        startedAtMillis: Long = 1,
    ) = Replica(
        ReplicaEntry(
            InstanceId(id),
            ServiceName("writers"),
            "127.0.0.1",
            1,
            ZoneName(zone),
            PROFILE.slots,
            false,
            0,
            startedAtMillis,
        ),
    ) { nowMillis }

    /** Returns an engine whose figures and streams showed [factor] for some time. */
    fun engineOf(
        id: String,
        factor: Double,
        zone: String = "a",
    ): Replica {
        val engine = engine(id, zone)
        repeat(30) {
            nowMillis += 700
            engine.pace.recordFigure(100)
            engine.pace.recordObservation(factor)
        }
        return engine
    }

    /** Returns how many of [count] requests of [demand] each of [engines] received, without changing their load. */
    fun choices(
        engines: List<Replica>,
        demand: GenerationDemand,
        count: Int,
    ): Map<Replica, Int> =
        List(count) { checkNotNull(selection.forGeneration(engines, demand, PROFILE)) }.groupingBy { it }.eachCount()

    /** Adds a generation of [demand] to [engine]. */
    fun begin(
        engine: Replica,
        demand: GenerationDemand,
        isReading: Boolean = true,
    ) {
        engine.load.begin(demand.tokens)
        if (isReading) engine.load.beginPrompt(demand.promptTokens.toLong())
    }

    companion object {
        val PROFILE = EngineProfile(24, 26_800, 163_840, 4, supportsMigration = true, supportsBackup = true)

        /** A stream of 187 events whose first is due within 1.8 s, with pauses of at most 180 ms. */
        val LONG = GenerationDemand(3_000, 748, 748, firstEventObjectiveMillis = 1_806, eventGapMillis = 180)

        /** A stream of 2 events whose first is due within 1.5 s. */
        val SHORT = GenerationDemand(2_200, 8, 8, firstEventObjectiveMillis = 1_504, eventGapMillis = 180)
    }
}
