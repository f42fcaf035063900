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
 * @param order what the instances tell each other about a restored store; null if nothing
 */
class LoadExchange(
    private val self: Peer,
    private val start: Long,
    private val clock: Clock,
    val quarantine: PartQuarantine,
    private val order: ConfigurationOrder? = null,
) : FleetMembership {
    constructor(self: Peer, start: Long, clock: Clock) : this(self, start, clock, PartQuarantine(self.name, clock))

    private val roster = PeerRoster(clock)
    private val aggregators = AggregatorSelection(self, roster, clock)
    private val sentReports = SentReports()
    private val received = ReceivedLoads(self.zone, clock)
    private val speeds = SpeedExchange(self.zone.value, clock)
    private val notices = StartNotices(self, start, clock)
    private val fleetSize = FleetSizeEstimate(clock)
    private var sequence = 0L
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
    private var totalsEntries = 0
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
        order?.recordInstances(hasOthers = roster.size > 0)
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
        val isDue = hasChanged || isElapsed(reportSentMillis, aggregators.heartbeatMillis(isMesh()))
        if (isDue) outgoing += newReport(work, isLeaving = false)
        outgoing += questions()
        if (!aggregators.isRequested && !isAggregator()) return outgoing
        if (isElapsed(totalsSentMillis, TotalsInterval.millis(totalsEntries))) newTotals(work)?.let { outgoing += it }
        if (!isMesh() && isElapsed(sumsSentMillis, SUMS_INTERVAL_MILLIS)) newSums(work)?.let { outgoing += it }
        return outgoing
    }

    /** Returns the final message of an instance that is shutting down. */
    fun leave(): OutgoingMessage = newReport(emptyMap(), isLeaving = true)

    /** Whether the instances of this zone tell each other at once of the generations that they start. */
    val announcesStarts: Boolean get() = speeds.isInUse && noticeRecipients().isNotEmpty()

    /** Whether the load that this instance knows includes the starts in its zone, as far as it can tell. */
    val knowsStarts: Boolean get() = announcesStarts && !notices.isLimited

    /** Returns the notice that this instance starts a generation of [work] at [replica], or null if none is sent. */
    fun noticeOfStart(
        replica: String,
        work: PeerWork,
    ): OutgoingMessage? {
        if (!announcesStarts) return null
        return notices.create(noticeRecipients(), mapOf(replica to work), sequence + 1)
    }

    /** Returns the other instances of the zone, or none where the fleet or the zone is too small or too large. */
    private fun noticeRecipients(): List<Peer> {
        if (isMesh() || isAggregator()) return emptyList()
        val members = roster.activeWithin(LIVE_MILLIS).filter { it.zone == self.zone }
        return if (members.size < StartNotices.MAXIMUM_ZONE_INSTANCES) members else emptyList()
    }

    /** Processes a message. Returns the messages to forward immediately. */
    fun receive(message: PeerMessage): List<OutgoingMessage> {
        val endpoint = Endpoint.parseOrNull(message.endpoint) ?: return emptyList()
        if (message.sender == self.name) return emptyList()
        receivedAtMillis = clock.nowMillis()
        quarantine.merge(message.parts)
        speeds.receive(message)
        val sender = Peer(message.sender, ZoneName(message.zone), endpoint)
        when (message) {
            is PeerReport -> return receive(message, sender)
            is FleetReport -> if (sender.zone == self.zone) receive(message, sender)
            is ZoneReport -> if (sender.zone != self.zone) return receive(message, sender)
        }
        return emptyList()
    }

    /** Sets the load of the other instances on each of [replicas]. */
    fun apply(replicas: Collection<Replica>) {
        speeds.apply(replicas)
        applyWork(replicas)
    }

    /** Sets the load of the other instances on each of [replicas], apart from the speeds, after a message. */
    fun applyWork(replicas: Collection<Replica>) {
        val work = othersWork()
        for (replica in replicas) {
            val part = work[replica.entry.id.value]
            replica.load.remoteRunning = part?.running ?: 0
            replica.load.remoteTokens = part?.tokens ?: 0
            replica.load.remotePromptTokens = part?.promptTokens ?: 0
            replica.load.remoteCopies = part?.copies ?: 0
        }
    }

    private fun receive(
        report: PeerReport,
        sender: Peer,
    ): List<OutgoingMessage> {
        if (report.starts.isNotEmpty()) {
            roster.recordContact(sender)
            if (sender.zone == self.zone) notices.receive(report)
            return emptyList()
        }
        val isNewIncarnation = received.isNewIncarnation(report)
        if (received.accept(report)) {
            if (isNewIncarnation) hasNewIncarnation = true
            if (report.isLeaving) roster.remove(report.sender) else roster.recordContact(sender)
            val isRequest = report.wantsTotals && !report.isLeaving && sender.zone == self.zone
            if (isRequest) aggregators.recordRequest()
        }
        val answer = report.storeEra?.let { order?.receive(it) } ?: return emptyList()
        return repeatReport(answer, listOf(sender.endpoint))
    }

    private fun questions(): List<OutgoingMessage> =
        order?.question()?.let { repeatReport(it, StartInquiry.recipients(roster.all())) }.orEmpty()

    /** Returns the latest report once more for [destinations] only, with a question or an answer about the store. */
    private fun repeatReport(
        eraReport: EraReport,
        destinations: List<Endpoint>,
    ): List<OutgoingMessage> {
        val report = sentReports.repeatLatest(sequence + 1, eraReport) ?: return emptyList()
        sequence = report.sequence
        return listOf(OutgoingMessage(destinations, report))
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
                work.copies(),
            )
        sentPartsVersion = quarantine.version
        hasNewIncarnation = false
        sentReports.add(report)
        reportSentMillis = clock.nowMillis()
        val recipients = if (isMesh()) roster.meshRecipients(quarantine.isActive) else aggregators.current()
        return OutgoingMessage(recipients.map { it.endpoint }, report)
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
        if (isUnchanged && !isElapsed(totalsSentMillis, TotalsInterval.LIMIT_MILLIS)) return null
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
                totals.copies(),
            )
        totalsEntries = report.work.size + report.members.size
        return OutgoingMessage(requesters, report)
    }

    /** Returns the sums of the local zone for the other zones, or null if there are none or nothing changed. */
    private fun newSums(work: WorkByReplica): OutgoingMessage? {
        val targets = roster.recipientsOfSums(self.zone, received::senderOfSums)
        if (targets.isEmpty()) return null
        val reports = received.localReports
        val sums = (reports.map { it.work } + listOf(work)).sumByReplica()
        val zoneLimits = listOf(limits, received.localLimits()).latestByReplica()
        val zoneLeaving = reports.fold(leaving) { known, member -> known + member.leaving }
        val versions = RolloutReport.sum(received.localVersions(ownVersions))
        val content = SentContent.of(sums, zoneLeaving, zoneLimits, quarantine.version, versions)
        val isUnchanged = content == lastSums && !speeds.hasZoneNews
        if (isUnchanged && !isElapsed(sumsSentMillis, AggregatorSelection.HEARTBEAT_MILLIS)) return null
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
                copies = sums.copies(),
            )
        return OutgoingMessage(targets.map { it.endpoint }, report)
    }

    private fun othersWork(): WorkByReplica {
        val fleetTotals = totals()
        if (fleetTotals == null) {
            val starts = notices.notIncluded(received.localReports.associate { it.sender to it.sequence })
            return (received.work() + starts).sumByReplica()
        }
        val own = fleetTotals.members[self.name]?.let(sentReports::get).orEmpty()
        val others = fleetTotals.work.mapValues { (replica, sum) -> own[replica]?.let { sum - it } ?: sum }
        return (notices.notIncluded(fleetTotals.members) + others).sumByReplica()
    }

    /** Returns the totals received from an aggregator, or null if this instance aggregates itself. */
    private fun totals(): FleetReport? = received.totals?.takeIf { !isAggregator() }

    private fun isAggregator() = !isMesh() && aggregators.current().isEmpty()

    private fun isMesh() = roster.size < MESH_INSTANCES

    private fun isElapsed(
        sinceMillis: Long?,
        millis: Long,
    ) = sinceMillis == null || clock.nowMillis() - sinceMillis >= millis

    companion object {
        /** Returns the load of this instance on [replicas]; idle replicas are omitted. */
        fun work(replicas: Collection<Replica>): WorkByReplica =
            replicas
                .map { it.entry.id.value to it.load.own }
                .filter { (_, work) -> work.running > 0 || work.tokens > 0 || work.copies > 0 }
                .toMap()

        /**
         * Up to this fleet size, a full mesh (16 x 1.5 messages per second) costs less than the delay of aggregation.
         */
        private const val MESH_INSTANCES = 16

        /** Three heartbeats; in a large fleet addresses are announced every one or two seconds. */
        private const val LIVE_MILLIS = 3_500L

        /** Sums between zones may be staler, since generations are placed in the local zone first. */
        private const val SUMS_INTERVAL_MILLIS = 200L

        /** One total in this many contains the members' addresses, about one every two seconds. */
        private const val ADDRESS_ROUNDS = 8L
    }
}
