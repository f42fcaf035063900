package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName

/** The newest messages of other instances. What a silent sender told is forgotten. Confined to one thread. */
internal class HeardLoads(
    private val ownZone: ZoneName,
    private val clock: Clock,
) {
    private class Heard<T : PeerMessage>(
        val message: T,
        val atMillis: Long,
    )

    private val reports = HashMap<String, Heard<PeerReport>>()
    private val zones = HashMap<String, Heard<ZoneReport>>()
    private var fleet: Heard<FleetReport>? = null

    /** Whether any other instance was heard of so far. */
    val isEmpty: Boolean get() = reports.isEmpty() && fleet == null

    /** The totals that an aggregator told lately. */
    val totals: FleetReport? get() = fleet?.takeIf(::isFresh)?.message

    /** Reports of single instances. */
    val instances: List<PeerReport> get() = reports.values.filter(::isFresh).map { it.message }

    /** Reports of single instances of the own zone. */
    val members: List<PeerReport> get() = instances.filter { it.zone == ownZone.value }

    /** Sums of the other zones. */
    private val sums: List<ZoneReport> get() = zones.values.filter(::isFresh).map { it.message }

    /**
     * Takes a report. Returns false if a newer one of its sender is known. One of a silent sender does not count: the
     * sender may have started again with its clock set back.
     */
    fun take(report: PeerReport): Boolean {
        val known = reports[report.sender]?.takeIf(::isFresh)
        if (known != null && report.isNotNewerThan(known.message)) return false
        if (report.isLeaving) reports.remove(report.sender) else reports[report.sender] = heard(report)
        return true
    }

    /** Takes sums of another zone; of two senders the first by name is believed. */
    fun take(report: ZoneReport) {
        val known = zones[report.zone]
        if (known != null && isFresh(known) && isLessThan(report, known.message)) return
        zones[report.zone] = heard(report)
    }

    /** Takes totals; of two senders the [preferred] one is believed, since the other may hear fewer instances. */
    fun take(
        report: FleetReport,
        preferred: String?,
    ) {
        val known = totals
        val isOther = known != null && known.sender != report.sender
        if (isOther && report.sender != preferred) return
        if (known != null && !isOther && report.isNotNewerThan(known)) return
        fleet = heard(report)
    }

    /** Returns who told the sums of [zone] lately, or null. */
    fun senderOfSums(zone: ZoneName): String? = zones[zone.value]?.takeIf(::isFresh)?.message?.sender

    /** Returns the work of the others: single reports of the own zone, and sums of the other zones where known. */
    fun work(): List<WorkByReplica> =
        members.map { it.work } + sums.map { it.work } + instancesOfUnknownZones().map { it.work }

    /** Instances whose work is in [work]. */
    fun count(): Int = members.size + sums.sumOf { it.instances } + instancesOfUnknownZones().size

    /** Returns the replicas that announced their leaving, by the reports of single instances and of other zones. */
    fun reportedLeavings(): StartsByReplica =
        (instances + sums).fold(emptyMap()) { known, message -> known + message.leaving }

    /** Returns the replicas that announced their leaving, by all messages. */
    fun leaving(): StartsByReplica = reportedLeavings() + totals?.leaving.orEmpty()

    private fun instancesOfUnknownZones(): List<PeerReport> {
        val known = sums.map { it.zone } + ownZone.value
        return instances.filter { it.zone !in known }
    }

    private fun isLessThan(
        report: ZoneReport,
        known: ZoneReport,
    ) = if (report.sender == known.sender) report.isNotNewerThan(known) else report.sender > known.sender

    private fun <T : PeerMessage> heard(message: T) = Heard(message, clock.nowMillis())

    private fun isFresh(heard: Heard<*>) = clock.nowMillis() - heard.atMillis <= REPORT_LIFE_MILLIS

    private companion object {
        /** Three lost reports in a row mean that the sender is gone or cut off. */
        const val REPORT_LIFE_MILLIS = 3_500L
    }
}
