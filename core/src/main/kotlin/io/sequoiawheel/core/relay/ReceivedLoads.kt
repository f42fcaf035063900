package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.rollout.RolloutReport

/**
 * The latest load messages of other instances; messages expire if their sender falls silent. Confined to one thread.
 */
internal class ReceivedLoads(
    private val ownZone: ZoneName,
    private val clock: Clock,
) {
    private class Received<T : PeerMessage>(
        val message: T,
        val atMillis: Long,
    )

    private val reports = HashMap<String, Received<PeerReport>>()
    private val zones = HashMap<String, Received<ZoneReport>>()
    private var fleet: Received<FleetReport>? = null

    /** What instances of the local zone that ended said of rollouts, by name and time of start. */
    private val endedVersions = HashMap<Pair<String, Long>, RolloutReport>()

    /** Whether no reports or totals of other instances are stored. */
    val isEmpty: Boolean get() = reports.isEmpty() && fleet == null

    /** Time since the newest unexpired message arrived, or null if there is none. */
    val ageMillis: Long?
        get() =
            (reports.values + zones.values + listOfNotNull(fleet))
                .filter(::isFresh)
                .maxOfOrNull { it.atMillis }
                ?.let { clock.nowMillis() - it }

    /** The most recent totals of an aggregator, or null if they have expired. */
    val totals: FleetReport? get() = fleet?.takeIf(::isFresh)?.message

    /** The unexpired reports of individual instances. */
    val freshReports: List<PeerReport> get() = reports.values.filter(::isFresh).map { it.message }

    /** The unexpired reports of individual instances in the local zone. */
    val localReports: List<PeerReport> get() = freshReports.filter { it.zone == ownZone.value }

    /** The unexpired sums of the other zones. */
    private val sums: List<ZoneReport> get() = zones.values.filter(::isFresh).map { it.message }

    /**
     * Stores a report. Returns false if a newer one of the same sender is known. Expired reports are not compared,
     * since the sender may have restarted with its clock set back.
     */
    fun accept(report: PeerReport): Boolean {
        val known = reports[report.sender]?.takeIf(::isFresh)
        if (known != null && report.isNotNewerThan(known.message)) return false
        reports[report.sender]?.message?.takeIf { it.start != report.start || report.isLeaving }?.let(::recordEnd)
        if (report.isLeaving) reports.remove(report.sender) else reports[report.sender] = received(report)
        return true
    }

    /** Whether nothing is stored of the incarnation of the sender of [report]. */
    fun isNewIncarnation(report: PeerReport): Boolean = reports[report.sender]?.message?.start != report.start

    /** Stores the sums of another zone; of two senders, the first by name takes precedence. */
    fun accept(report: ZoneReport) {
        val known = zones[report.zone]
        if (known != null && isFresh(known) && isSuperseded(report, known.message)) return
        zones[report.zone] = received(report)
    }

    /** Stores totals; of two senders, [preferred] takes precedence, since the other may receive fewer reports. */
    fun accept(
        report: FleetReport,
        preferred: String?,
    ) {
        val known = totals
        val isOther = known != null && known.sender != report.sender
        if (isOther && report.sender != preferred) return
        if (known != null && !isOther && report.isNotNewerThan(known)) return
        fleet = received(report)
    }

    /** Returns the sender of the latest unexpired sums of [zone], or null. */
    fun senderOfSums(zone: ZoneName): String? = zones[zone.value]?.takeIf(::isFresh)?.message?.sender

    /**
     * Returns the load of the other instances: reports from the local zone, and for each other zone its sums, or the
     * reports of its instances if there are no sums.
     */
    fun work(): List<WorkByReplica> =
        localReports.map { it.work } + sums.map { it.work } + reportsOfZonesWithoutSums().map { it.work }

    /** Returns the number of instances included in [work]. */
    fun count(): Int = localReports.size + sums.sumOf { it.instanceCount } + reportsOfZonesWithoutSums().size

    /** Returns the replicas that announced that they are leaving, from the reports of instances and zones. */
    fun reportedLeaving(): StartsByReplica =
        (freshReports + sums).fold(emptyMap()) { known, message -> known + message.leaving }

    /** Returns the replicas that announced that they are leaving, from all messages. */
    fun leaving(): StartsByReplica = reportedLeaving() + totals?.leaving.orEmpty()

    /** Returns the request limits that instances of the local zone reported. */
    fun localLimits(): LimitsByReplica = limitsOf(reports.values.filter { it.message.zone == ownZone.value })

    /** Returns the request limits from the reports of instances and zones. */
    fun reportedLimits(): LimitsByReplica = limitsOf(reports.values + zones.values)

    /** Returns the request limits from all messages. */
    fun limits(): LimitsByReplica = limitsOf(reports.values + zones.values + listOfNotNull(fleet))

    /** Returns what this instance, which knows [own], and the others of the local zone know of rollouts. */
    fun localVersions(own: RolloutReport): List<RolloutReport> {
        val live = localReports.map { it.versions } + own
        return live + endedVersions(live)
    }

    /** Returns what all instances know of rollouts, from the same messages as [work] and from [own]. */
    fun versions(own: RolloutReport): List<RolloutReport> =
        localVersions(own) + sums.map { it.versions } + reportsOfZonesWithoutSums().map { it.versions }

    /** Returns what instances that ended know of the orders that [live] say are in force. */
    private fun endedVersions(live: List<RolloutReport>): List<RolloutReport> {
        reports.values
            .filter { !isFresh(it) && it.message.zone == ownZone.value }
            .forEach { recordEnd(it.message) }
        endedVersions.values.removeIf { it.ended(live).shares.isEmpty() }
        return endedVersions
            .filterKeys { (name, start) -> reports[name]?.takeIf(::isFresh)?.message?.start != start }
            .values
            .map { it.ended(live) }
    }

    private fun recordEnd(report: PeerReport) {
        if (report.zone != ownZone.value || report.versions.shares.isEmpty()) return
        endedVersions[report.sender to report.start] = report.versions
    }

    private fun limitsOf(messages: Collection<Received<out PeerMessage>>): LimitsByReplica =
        messages
            .filter(::isFresh)
            .map { received -> received.message.limits.mapValues { it.value.received(received.atMillis) } }
            .latestByReplica()

    private fun reportsOfZonesWithoutSums(): List<PeerReport> {
        val known = sums.map { it.zone } + ownZone.value
        return freshReports.filter { it.zone !in known }
    }

    private fun isSuperseded(
        report: ZoneReport,
        known: ZoneReport,
    ) = if (report.sender == known.sender) report.isNotNewerThan(known) else report.sender > known.sender

    private fun <T : PeerMessage> received(message: T) = Received(message, clock.nowMillis())

    private fun isFresh(received: Received<*>) = clock.nowMillis() - received.atMillis <= REPORT_LIFE_MILLIS

    private companion object {
        /** Three consecutive lost reports mean that the sender has terminated or is partitioned. */
        const val REPORT_LIFE_MILLIS = 3_500L
    }
}
