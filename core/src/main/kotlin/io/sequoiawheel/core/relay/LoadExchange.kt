/*
 * Exchange of replica load between instances. A small fleet exchanges reports in a full mesh. In a larger one each
 * instance reports to one instance of its availability zone, the aggregator, which exchanges sums with the aggregators
 * of the other zones and sends the totals to its zone, so that the message rate of an instance does not grow with the
 * fleet. An instance subtracts its own load from a total using the report that the total includes.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.pace.SpeedExchange
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.rollout.RolloutReport

/** A message to send to [destinations]. */
class OutgoingMessage(
    val destinations: List<Endpoint>,
    val message: PeerMessage,
)

/**
 * Decides which load messages one instance sends, and processes those that it receives. Confined to one thread.
 *
 * @param start start time in Unix milliseconds, which identifies this incarnation; larger than that of earlier
 *   incarnations of the same name
 * @property quarantine what the instances tell each other about prompt parts that end replicas
 */
class LoadExchange(
    private val self: Peer,
    private val start: Long,
    private val clock: Clock,
    val quarantine: PartQuarantine,
) : FleetMembership {
    constructor(self: Peer, start: Long, clock: Clock) : this(self, start, clock, PartQuarantine(self.name, clock))

    private val roster = PeerRoster(clock)
    private val aggregators = AggregatorSelection(self, roster, clock)
    private val sentReports = SentReports()
    private val received = ReceivedLoads(self.zone, clock)
    private val speeds = SpeedExchange(self.zone.value, clock)
    private val fleetSize = FleetSizeEstimate(clock)
    private var sequence = 0L
    private var meshRounds = 0L
    private var totalsRounds = 0L
    private var isListed = false
    private var sentPartsVersion = 0
    private var hasNewIncarnation = false

    /** Whether the other instances should learn something about prompt parts or rollouts soon. */
    private val hasOtherNotices: Boolean
        get() =
            quarantine.version != sentPartsVersion ||
                (hasNewIncarnation && quarantine.isActive) ||
                !ownVersions.isSameAs(sentReports.latestVersions)
    private var reportSentMillis: Long? = null
    private var totalsSentMillis: Long? = null
    private var sumsSentMillis: Long? = null
    private var totalsBytes = 0
    private var lastTotals: SentContent = SentContent()
    private var lastSums: SentContent = SentContent()
    private var leaving: StartsByReplica = emptyMap()
    private var limits: LimitsByReplica = emptyMap()

    /** What this instance knows of rollouts itself. */
    var ownVersions: RolloutReport = RolloutReport.NONE

    /** When a message of another instance was received last, or null. */
    var receivedAtMillis: Long? = null
        private set

    override val selfName: String get() = self.name
    override val loadAgeMillis: Long? get() = received.ageMillis
    override val isKnown: Boolean get() = isListed || !received.isEmpty
    override val zone: ZoneName get() = self.zone
    override val zoneInstances: Collection<String>
        get() = roster.all().filter { it.zone == self.zone }.map { it.name } + self.name

    /**
     * Upper estimate of the number of instances, so that the shares of common limits add up to no more than the limits.
     */
    override val instanceCount: Int
        get() {
            if (!isKnown) return FleetSizeEstimate.LARGEST_PLANNED
            return fleetSize.update(maxOf(liveCount(), roster.size + 1))
        }

    /** Returns the number of instances that reported recently, including this one. */
    fun liveCount(): Int = totals()?.instanceCount ?: (1 + received.count())

    /** Returns the other instances recently contacted or listed; in a large fleet, only those of the local zone. */
    fun live(): List<Peer> = roster.activeWithin(LIVE_MILLIS)

    /** Adds the addresses of [peers] listed in the platform's store. */
    fun addListedPeers(peers: List<Peer>) {
        isListed = true
        peers.filter { it.name != self.name }.forEach(roster::add)
    }

    /** The replicas that announced to other instances that they are leaving. */
    val leavingReportedByPeers: StartsByReplica get() = received.leaving()

    /** What all instances together know of rollouts, this one included. */
    fun knownVersions(): RolloutReport = totals()?.versions ?: RolloutReport.sum(received.versions(ownVersions))

    /** The request limits that other instances observed. */
    val limitsReportedByPeers: LimitsByReplica get() = received.limits()

    /**
     * Returns the messages to send now, given this instance's [work], the replicas that announced that they are
     * [leaving], and the request [limits] that this instance knows. Call it every 100 ms.
     */
    fun tick(
        work: WorkByReplica,
        leaving: StartsByReplica = emptyMap(),
        limits: LimitsByReplica = emptyMap(),
    ): List<OutgoingMessage> {
        val outgoing = ArrayList<OutgoingMessage>()
        val hasNewNotices =
            leaving != this.leaving || limits.rates() != this.limits.rates() || hasOtherNotices || speeds.hasNews
        val hasChanged = hasNewNotices || work.generationTokens() != sentReports.latestWork.generationTokens()
        this.leaving = leaving
        this.limits = limits
        if (hasChanged || isElapsed(reportSentMillis, heartbeatMillis())) outgoing += newReport(work, isLeaving = false)
        if (!aggregators.isRequested && !isAggregator()) return outgoing
        if (isElapsed(totalsSentMillis, totalsIntervalMillis())) newTotals(work)?.let { outgoing += it }
        if (!isMesh() && isElapsed(sumsSentMillis, SUMS_INTERVAL_MILLIS)) newSums(work)?.let { outgoing += it }
        return outgoing
    }

    /** Returns the final message of an instance that is shutting down. */
    fun leave(): OutgoingMessage = newReport(emptyMap(), isLeaving = true)

    /** Processes a message. Returns the messages to forward immediately. */
    fun receive(message: PeerMessage): List<OutgoingMessage> {
        val endpoint = Endpoint.parseOrNull(message.endpoint) ?: return emptyList()
        if (message.sender == self.name) return emptyList()
        receivedAtMillis = clock.nowMillis()
        quarantine.merge(message.parts)
        speeds.receive(message)
        val sender = Peer(message.sender, ZoneName(message.zone), endpoint)
        when (message) {
            is PeerReport -> receive(message, sender)
            is FleetReport -> if (sender.zone == self.zone) receive(message, sender)
            is ZoneReport -> if (sender.zone != self.zone) return receive(message, sender)
        }
        return emptyList()
    }

    /** Sets the load of the other instances on each of [replicas]. */
    fun apply(replicas: Collection<Replica>) {
        speeds.apply(replicas)
        val work = othersWork()
        for (replica in replicas) {
            val part = work[replica.entry.id.value]
            replica.load.remoteRunning = part?.running ?: 0
            replica.load.remoteTokens = part?.tokens ?: 0
            replica.load.remotePromptTokens = part?.promptTokens ?: 0
        }
    }

    private fun receive(
        report: PeerReport,
        sender: Peer,
    ) {
        val isNewIncarnation = received.isNewIncarnation(report)
        if (!received.accept(report)) return
        if (isNewIncarnation) hasNewIncarnation = true
        if (report.isLeaving) return roster.remove(report.sender)
        roster.recordContact(sender)
        if (report.wantsTotals && sender.zone == self.zone) aggregators.recordRequest()
    }

    private fun receive(
        report: FleetReport,
        sender: Peer,
    ) {
        roster.recordContact(sender)
        aggregators.recordTotals(report.sender)
        received.accept(report, preferred = aggregators.current().firstOrNull()?.name)
        report.addresses.filterKeys { it != self.name }.forEach { (name, address) ->
            Endpoint.parseOrNull(address)?.let { roster.recordContact(Peer(name, self.zone, it)) }
        }
    }

    /** Forwards the sums of another zone to the aggregator of this instance, if it has one, at most once. */
    private fun receive(
        report: ZoneReport,
        sender: Peer,
    ): List<OutgoingMessage> {
        roster.recordContact(sender)
        received.accept(report)
        val aggregator = aggregators.current().firstOrNull()?.takeIf { !isMesh() && !report.isForwarded }
        return listOfNotNull(aggregator?.let { OutgoingMessage(listOf(it.endpoint), report.copy(isForwarded = true)) })
    }

    private fun newReport(
        work: WorkByReplica,
        isLeaving: Boolean,
    ): OutgoingMessage {
        val endpoint = self.endpoint.toString()
        val wantsTotals = !isMesh() && !isLeaving
        val report =
            PeerReport(
                self.name,
                start,
                ++sequence,
                endpoint,
                work,
                isLeaving,
                self.zone.value,
                wantsTotals,
                leaving,
                ReportedLimit.of(limits, clock.nowMillis()),
                quarantine.report(),
                speeds.ofInstance(),
                ownVersions,
            )
        sentPartsVersion = quarantine.version
        hasNewIncarnation = false
        sentReports.add(report)
        reportSentMillis = clock.nowMillis()
        return OutgoingMessage((if (isMesh()) meshPeers() else aggregators.current()).map { it.endpoint }, report)
    }

    /**
     * Returns the totals for the instances that requested them, or null if there are none or nothing changed. In a
     * large fleet, instances that still take it for a small one receive them too: later instances do not report to
     * them, so only the addresses in the totals make these known.
     */
    private fun newTotals(work: WorkByReplica): OutgoingMessage? {
        val reports = received.localReports
        val requesters = reports.filter { it.wantsTotals || !isMesh() }.mapNotNull { Endpoint.parseOrNull(it.endpoint) }
        if (requesters.isEmpty()) return null
        val totals = (received.work() + listOf(work)).sumByReplica()
        val allLimits = listOf(limits, received.reportedLimits()).latestByReplica()
        val versions = RolloutReport.sum(received.versions(ownVersions))
        val allLeaving = leaving + received.reportedLeaving()
        val content = SentContent.of(totals, allLeaving, allLimits, quarantine.version, versions)
        val isUnchanged = content == lastTotals && !speeds.hasFleetNews
        if (isUnchanged && !isElapsed(totalsSentMillis, TOTALS_INTERVAL_LIMIT_MILLIS)) return null
        lastTotals = content
        totalsSentMillis = clock.nowMillis()
        val hasAddresses = totalsRounds++ % ADDRESS_ROUNDS == 0L
        val report =
            FleetReport(
                self.name,
                start,
                ++sequence,
                self.endpoint.toString(),
                self.zone.value,
                1 + received.count(),
                totals,
                reports.associate { it.sender to it.sequence },
                if (hasAddresses) reports.associate { it.sender to it.endpoint } else emptyMap(),
                content.leaving,
                ReportedLimit.of(allLimits, clock.nowMillis()),
                quarantine.report(),
                speeds.ofFleet(),
                versions,
            )
        totalsBytes = (report.work.size + report.members.size) * BYTES_PER_ENTRY
        return OutgoingMessage(requesters, report)
    }

    /** Returns the sums of the local zone for the other zones, or null if there are none or nothing changed. */
    private fun newSums(work: WorkByReplica): OutgoingMessage? {
        val targets = otherZones()
        if (targets.isEmpty()) return null
        val reports = received.localReports
        val sums = (reports.map { it.work } + listOf(work)).sumByReplica()
        val zoneLimits = listOf(limits, received.localLimits()).latestByReplica()
        val zoneLeaving = reports.fold(leaving) { known, member -> known + member.leaving }
        val versions = RolloutReport.sum(received.localVersions(ownVersions))
        val content = SentContent.of(sums, zoneLeaving, zoneLimits, quarantine.version, versions)
        if (content == lastSums && !speeds.hasZoneNews && !isElapsed(sumsSentMillis, HEARTBEAT_MILLIS)) return null
        lastSums = content
        sumsSentMillis = clock.nowMillis()
        val report =
            ZoneReport(
                self.name,
                start,
                ++sequence,
                self.endpoint.toString(),
                self.zone.value,
                1 + reports.size,
                sums,
                leaving = content.leaving,
                limits = ReportedLimit.of(zoneLimits, clock.nowMillis()),
                parts = quarantine.report(),
                speeds = speeds.ofZone(),
                versions = versions,
            )
        return OutgoingMessage(targets.map { it.endpoint }, report)
    }

    /**
     * Returns the recipients of this zone's sums: per zone the sender of its sums, or its instances in turn until one
     * sends.
     */
    private fun otherZones(): List<Peer> {
        val turn = clock.nowMillis() / ZONE_PROBE_MILLIS
        return roster.all().filter { it.zone != self.zone }.groupBy { it.zone }.map { (zone, peers) ->
            received.senderOfSums(zone)?.let { roster[it] } ?: peers[(turn % peers.size).toInt()]
        }
    }

    private fun othersWork(): WorkByReplica {
        val fleetTotals = totals() ?: return received.work().sumByReplica()
        val own = fleetTotals.members[self.name]?.let(sentReports::get).orEmpty()
        return fleetTotals.work.mapValues { (replica, sum) -> own[replica]?.let { sum - it } ?: sum }
    }

    /** Returns the totals received from an aggregator, or null if this instance aggregates itself. */
    private fun totals(): FleetReport? = received.totals?.takeIf { !isAggregator() }

    private fun isAggregator() = !isMesh() && aggregators.current().isEmpty()

    private fun isMesh() = roster.size < MESH_INSTANCES

    /** Instances that were cut off must learn of parts that end replicas before they serve again. */
    private fun meshPeers(): List<Peer> {
        val silentRounds = if (quarantine.isActive) 1L else SILENT_ROUNDS
        return if (meshRounds++ % silentRounds == 0L) roster.all() else roster.activeWithin(SILENT_MILLIS)
    }

    /** Reports more often to a newly selected aggregator, so that one lost datagram does not make it appear failed. */
    private fun heartbeatMillis(): Long {
        val isUnanswered = !isMesh() && aggregators.current().isNotEmpty() && aggregators.isUnanswered
        return if (isUnanswered) UNANSWERED_HEARTBEAT_MILLIS else HEARTBEAT_MILLIS
    }

    private fun isElapsed(
        sinceMillis: Long?,
        millis: Long,
    ) = sinceMillis == null || clock.nowMillis() - sinceMillis >= millis

    private fun totalsIntervalMillis(): Long =
        (totalsBytes * MILLIS_PER_SECOND / TOTALS_BYTES_PER_SECOND)
            .coerceIn(TOTALS_INTERVAL_MILLIS, TOTALS_INTERVAL_LIMIT_MILLIS)

    companion object {
        /** Returns the load of this instance on [replicas]; idle replicas are omitted. */
        fun work(replicas: Collection<Replica>): WorkByReplica =
            replicas
                .filter { it.load.running > 0 || it.load.tokens > 0 }
                .associate { it.entry.id.value to PeerWork(it.load.running, it.load.tokens, it.load.promptTokens) }

        private const val MILLIS_PER_SECOND = 1_000L

        /**
         * Up to this fleet size, a full mesh (16 x 1.5 messages per second) costs less than the delay of aggregation.
         */
        private const val MESH_INSTANCES = 16

        /** An instance that misses several of these counts as terminated. */
        private const val HEARTBEAT_MILLIS = 1_000L

        /** Short enough for several requests before an aggregator counts as silent. */
        private const val UNANSWERED_HEARTBEAT_MILLIS = 300L

        /** Three heartbeats; in a large fleet addresses are announced every one or two seconds. */
        private const val LIVE_MILLIS = 3_500L

        /** After this time without a report, an address receives only occasional reports. */
        private const val SILENT_MILLIS = 6_000L

        /** One in this many reports is also sent to silent addresses. */
        private const val SILENT_ROUNDS = 20L

        /** Half the time of one prompt prefill; with older totals, instances would select the same replica. */
        private const val TOTALS_INTERVAL_MILLIS = 100L

        /** Shorter than the time after which an aggregator counts as silent. */
        private const val TOTALS_INTERVAL_LIMIT_MILLIS = 700L

        /** Limit on the totals that an instance receives: five per second for 95 instances and 33 replicas. */
        private const val TOTALS_BYTES_PER_SECOND = 8_000L

        /** Size of an id and its values in a message. */
        private const val BYTES_PER_ENTRY = 30

        /** Sums between zones may be staler, since generations are placed in the local zone first. */
        private const val SUMS_INTERVAL_MILLIS = 200L

        /** How long one instance of a zone with unknown sums receives this zone's sums before the next one is tried. */
        private const val ZONE_PROBE_MILLIS = 800L

        /** One total in this many contains the members' addresses, about one every two seconds. */
        private const val ADDRESS_ROUNDS = 8L
    }
}
