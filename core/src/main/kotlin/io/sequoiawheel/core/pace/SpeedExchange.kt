/*
 * The exchange of replica speeds between instances, as part of the load messages. An instance reports what its own
 * streams and responses showed; the sums of a zone combine its instances, and the totals all of them. Estimates that
 * were received are never reported as own ones, so that no estimate reinforces itself.
 */
package io.sequoiawheel.core.pace

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.FleetReport
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ZoneReport
import kotlin.math.exp
import kotlin.math.ln

/** Combines the speeds that instances report. Confined to one thread. */
internal class SpeedExchange(
    private val ownZone: String,
    private val clock: Clock,
) {
    private class Received(
        val speed: KnownSpeed,
        val zone: String,
        val atMillis: Long,
    )

    private var own: Map<String, KnownSpeed> = emptyMap()
    private var typicalFigures: Map<String, Double> = emptyMap()
    private val members = HashMap<String, HashMap<String, Received>>()
    private val zones = HashMap<String, HashMap<String, Received>>()
    private val totals = HashMap<String, HashMap<String, Received>>()
    private val sentByInstance = SentSpeeds(clock)
    private val sentByZone = SentSpeeds(clock)
    private val sentByFleet = SentSpeeds(clock)

    /** Whether a replica has reported its speed, to this instance or to another one. */
    val isInUse: Boolean get() = typicalFigures.isNotEmpty()

    /** Whether this instance knows of a change that the others should know soon. */
    val hasNews: Boolean get() = sentByInstance.hasNews(own, typicalFigures)

    /** Whether the instances of this zone know of a change that the other zones should know soon. */
    val hasZoneNews: Boolean get() = sentByZone.hasNews(zoneSpeeds(), typicalFigures)

    /** Whether any instance knows of a change that the instances of this zone should know soon. */
    val hasFleetNews: Boolean get() = sentByFleet.hasNews(fleetSpeeds(), typicalFigures)

    /** Returns what the message of this instance should say. */
    fun ofInstance(): Map<String, ReportedSpeed> = sentByInstance.take(own, typicalFigures)

    /** Returns what the sums of this zone should say. */
    fun ofZone(): Map<String, ReportedSpeed> = sentByZone.take(zoneSpeeds(), typicalFigures)

    /** Returns what the totals should say. */
    fun ofFleet(): Map<String, ReportedSpeed> = sentByFleet.take(fleetSpeeds(), typicalFigures)

    /** Stores the speeds in [message] of replicas that are known here. */
    fun receive(message: PeerMessage) {
        val target =
            when (message) {
                is PeerReport -> members
                is ZoneReport -> zones
                is FleetReport -> totals
            }
        val now = clock.nowMillis()
        for ((id, reported) in message.speeds) {
            if (own[id]?.incarnation != reported.incarnation) continue
            // Of a zone or the fleet, one sender at a time combines the speeds; of instances, each reports its own.
            val sender = if (message is PeerReport) message.sender else message.zone
            target.getOrPut(id, ::HashMap)[sender] = Received(reported.received(now), message.zone, now)
        }
    }

    /** Reads what this instance knows of [replicas], and sets what the other instances showed. */
    fun apply(replicas: Collection<Replica>) {
        own =
            replicas.associate { replica ->
                val incarnation = ReportedSpeed.incarnation(replica.entry.startedAtMillis)
                replica.entry.id.value to KnownSpeed(incarnation, replica.pace.observed, replica.pace.ownFigure)
            }
        typicalFigures = replicas.filter { it.pace.isKnown }.associate { it.entry.id.value to it.pace.typicalFigure }
        listOf(members, zones, totals).forEach(::expire)
        for (replica in replicas) {
            val id = replica.entry.id.value
            val told = combine(own.getValue(id).incarnation, received(id, members, zones, totals)) ?: continue
            told.figure?.let(replica.pace::applyFigure)
            replica.pace.applyReport(told.observed)
        }
    }

    private fun expire(received: HashMap<String, HashMap<String, Received>>) {
        received.keys.retainAll(own.keys)
        received.values.forEach { senders ->
            senders.values.removeIf { clock.nowMillis() - it.atMillis > LIFE_MILLIS }
        }
    }

    private fun zoneSpeeds() = combined { id -> received(id, members).filter { it.zone == ownZone } }

    private fun fleetSpeeds() = combined { id -> received(id, members, zones) }

    private fun combined(others: (String) -> List<Received>): Map<String, KnownSpeed> =
        own.mapValues { (id, speed) ->
            combine(speed.incarnation, others(id) + Received(speed, ownZone, clock.nowMillis())) ?: speed
        }

    private fun received(
        id: String,
        vararg sources: Map<String, Map<String, Received>>,
    ): List<Received> = sources.flatMap { it[id]?.values.orEmpty() }

    /** Returns the latest figure and the mean factor by number of observations, or null if nothing is known. */
    private fun combine(
        incarnation: Int,
        received: List<Received>,
    ): KnownSpeed? {
        val speeds = received.map { it.speed }.filter { it.incarnation == incarnation }
        if (speeds.isEmpty()) return null
        val observed = speeds.mapNotNull { it.observed }
        val weight = observed.sumOf { it.weight }
        val factor = if (weight > 0) exp(observed.sumOf { it.weight * ln(it.factor) } / weight) else null
        return KnownSpeed(
            incarnation,
            factor?.let { ObservedFactor(it, weight.coerceAtMost(MAXIMUM_WEIGHT)) },
            speeds.mapNotNull { it.figure }.maxByOrNull { it.observedAtMillis },
        )
    }

    private companion object {
        /** Three repetitions: what was not repeated by then is known to no instance any more. */
        const val LIFE_MILLIS = 60_000L

        /** Observations beyond this number add no certainty. */
        const val MAXIMUM_WEIGHT = 100
    }
}
