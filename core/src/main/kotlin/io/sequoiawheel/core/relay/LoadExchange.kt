/*
 * How an entry instance learns of the work that the others have at the replicas. A small fleet exchanges reports
 * directly. In a larger one each instance reports to one instance of its zone, the aggregator, which exchanges sums
 * with the aggregators of the other zones and tells its zone the total, so that the messages of an instance do not grow
 * with the fleet. An instance subtracts its own part of a total by the report that the total includes.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName

/** A message to be sent to [destinations]. */
class PeerSending(
    val destinations: List<Endpoint>,
    val message: PeerMessage,
)

/**
 * Decides what one instance sends to the others, and what follows from what it receives. Confined to one thread.
 *
 * @param start tells this incarnation from earlier ones of the same name
 */
class LoadExchange(
    private val self: Peer,
    private val start: Long,
    private val clock: Clock,
) {
    /** What a message told that makes the next one worth sending. */
    private data class Told(
        val memory: Map<String, Pair<Long, Long>> = emptyMap(),
        val leaving: StartsByReplica = emptyMap(),
    )

    private val roster = PeerRoster(clock)
    private val aggregators = AggregatorSelection(self, roster, clock)
    private val ownReports = OwnReports()
    private val heard = HeardLoads(self.zone, clock)
    private val count = FleetCount(clock)
    private var sequence = 0L
    private var meshRounds = 0L
    private var totalRounds = 0L
    private var isListed = false
    private var reportSentMillis: Long? = null
    private var totalSentMillis: Long? = null
    private var sumSentMillis: Long? = null
    private var totalBytes = 0
    private var lastTotal: Told = Told()
    private var lastSum: Told = Told()
    private var leaving: StartsByReplica = emptyMap()

    /** The instances that may exist: an upper estimate, so that shares of common bounds add up to less than these. */
    val instanceCount: Int
        get() {
            if (!isListed && heard.isEmpty) return FleetCount.UNKNOWN
            return count.atLeast(maxOf(liveCount(), roster.size + 1))
        }

    /** Instances that reported lately, this one included. */
    fun liveCount(): Int = totals()?.instances ?: (1 + heard.count())

    /** Other instances that were heard of or listed lately; in a large fleet those of the own zone. */
    fun live(): List<Peer> = roster.heardWithin(LIVE_MILLIS)

    /** Takes the addresses of [peers] from the platform's store. */
    fun listed(peers: List<Peer>) {
        isListed = true
        peers.filter { it.name != self.name }.forEach(roster::add)
    }

    /** The replicas that announced their leaving to other instances. */
    val leavingElsewhere: StartsByReplica get() = heard.leaving()

    /**
     * Returns what to send now, where this instance has [work], and replicas [leaving] announced that they leave. To be
     * called every tenth of a second.
     */
    fun tick(
        work: WorkByReplica,
        leaving: StartsByReplica = emptyMap(),
    ): List<PeerSending> {
        val sendings = ArrayList<PeerSending>()
        val hasChanged = memory(work) != memory(ownReports.newest) || leaving != this.leaving
        this.leaving = leaving
        if (hasChanged || isElapsed(reportSentMillis, heartbeatMillis())) sendings += report(work, isLeaving = false)
        if (!aggregators.isAsked && !isFirst()) return sendings
        if (isElapsed(totalSentMillis, totalIntervalMillis())) total(work)?.let { sendings += it }
        if (!isMesh() && isElapsed(sumSentMillis, SUM_INTERVAL_MILLIS)) sum(work)?.let { sendings += it }
        return sendings
    }

    /** Returns the last message of an instance that is leaving. */
    fun leave(): PeerSending = report(emptyMap(), isLeaving = true)

    /** Takes a message. Returns what to send on at once. */
    fun receive(message: PeerMessage): List<PeerSending> {
        val endpoint = Endpoint.parseOrNull(message.endpoint) ?: return emptyList()
        if (message.sender == self.name) return emptyList()
        val sender = Peer(message.sender, ZoneName(message.zone), endpoint)
        when (message) {
            is PeerReport -> receive(message, sender)
            is FleetReport -> if (sender.zone == self.zone) receive(message, sender)
            is ZoneReport -> if (sender.zone != self.zone) return receive(message, sender)
        }
        return emptyList()
    }

    /** Sets what the other instances have at each of [replicas]. */
    fun apply(replicas: Collection<Replica>) {
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
        if (!heard.take(report)) return
        if (report.isLeaving) return roster.remove(report.sender)
        roster.heard(sender)
        if (report.wantsSums && sender.zone == self.zone) aggregators.asked()
    }

    private fun receive(
        report: FleetReport,
        sender: Peer,
    ) {
        roster.heard(sender)
        aggregators.heard(report.sender)
        heard.take(report, preferred = aggregators.current().firstOrNull()?.name)
        report.addresses.filterKeys { it != self.name }.forEach { (name, address) ->
            Endpoint.parseOrNull(address)?.let { roster.heard(Peer(name, self.zone, it)) }
        }
    }

    /** Sums of another zone that reach an instance with an aggregator go on to it, once. */
    private fun receive(
        report: ZoneReport,
        sender: Peer,
    ): List<PeerSending> {
        roster.heard(sender)
        heard.take(report)
        val aggregator = aggregators.current().firstOrNull()?.takeIf { !isMesh() && !report.isForwarded }
        return listOfNotNull(aggregator?.let { PeerSending(listOf(it.endpoint), report.copy(isForwarded = true)) })
    }

    private fun report(
        work: WorkByReplica,
        isLeaving: Boolean,
    ): PeerSending {
        val endpoint = self.endpoint.toString()
        val wantsSums = !isMesh() && !isLeaving
        val report =
            PeerReport(self.name, start, ++sequence, endpoint, work, isLeaving, self.zone.value, wantsSums, leaving)
        ownReports.add(report)
        reportSentMillis = clock.nowMillis()
        return PeerSending((if (isMesh()) meshPeers() else aggregators.current()).map { it.endpoint }, report)
    }

    /** Returns the totals for the instances that asked for them, or null if none did or nothing is new. */
    private fun total(work: WorkByReplica): PeerSending? {
        val members = heard.members
        val askers = members.filter { it.wantsSums }.mapNotNull { Endpoint.parseOrNull(it.endpoint) }
        if (askers.isEmpty()) return null
        val total = (heard.work() + listOf(work)).total()
        val held = Told(memory(total), leaving + heard.reportedLeavings())
        if (held == lastTotal && !isElapsed(totalSentMillis, TOTAL_INTERVAL_LIMIT_MILLIS)) return null
        lastTotal = held
        totalSentMillis = clock.nowMillis()
        val hasAddresses = totalRounds++ % ADDRESS_ROUNDS == 0L
        val report =
            FleetReport(
                self.name,
                start,
                ++sequence,
                self.endpoint.toString(),
                self.zone.value,
                1 + heard.count(),
                total,
                members.associate { it.sender to it.sequence },
                if (hasAddresses) members.associate { it.sender to it.endpoint } else emptyMap(),
                held.leaving,
            )
        totalBytes = (report.work.size + report.members.size) * BYTES_PER_ENTRY
        return PeerSending(askers, report)
    }

    /** Returns the sums of the own zone for the other zones, or null if there are none or nothing is new. */
    private fun sum(work: WorkByReplica): PeerSending? {
        val targets = otherZones()
        if (targets.isEmpty()) return null
        val members = heard.members
        val sums = (members.map { it.work } + listOf(work)).total()
        val held = Told(memory(sums), members.fold(leaving) { known, member -> known + member.leaving })
        if (held == lastSum && !isElapsed(sumSentMillis, HEARTBEAT_MILLIS)) return null
        lastSum = held
        sumSentMillis = clock.nowMillis()
        val endpoint = self.endpoint.toString()
        val report =
            ZoneReport(
                self.name,
                start,
                ++sequence,
                endpoint,
                self.zone.value,
                1 + members.size,
                sums,
                leaving = held.leaving,
            )
        return PeerSending(targets.map { it.endpoint }, report)
    }

    /** Returns whom to tell this zone's sums: who told theirs, or one instance after the other until one does. */
    private fun otherZones(): List<Peer> {
        val turn = clock.nowMillis() / ZONE_PROBE_MILLIS
        return roster.all().filter { it.zone != self.zone }.groupBy { it.zone }.map { (zone, peers) ->
            heard.senderOfSums(zone)?.let { roster[it] } ?: peers[(turn % peers.size).toInt()]
        }
    }

    private fun othersWork(): WorkByReplica {
        val told = totals() ?: return heard.work().total()
        val own = told.members[self.name]?.let(ownReports::get).orEmpty()
        return told.work.mapValues { (replica, sum) -> own[replica]?.let { sum - it } ?: sum }
    }

    /** The totals of an aggregator, unless this instance is the one that knows best. */
    private fun totals(): FleetReport? = heard.totals?.takeIf { !isFirst() }

    private fun isFirst() = !isMesh() && aggregators.current().isEmpty()

    private fun isMesh() = roster.size < MESH_INSTANCES

    private fun meshPeers(): List<Peer> =
        if (meshRounds++ % SILENT_ROUNDS == 0L) roster.all() else roster.heardWithin(SILENT_MILLIS)

    /** An aggregator that was just chosen is asked until it answers, since one lost datagram must not condemn it. */
    private fun heartbeatMillis(): Long {
        val isUnanswered = !isMesh() && aggregators.current().isNotEmpty() && aggregators.isUnanswered
        return if (isUnanswered) UNANSWERED_HEARTBEAT_MILLIS else HEARTBEAT_MILLIS
    }

    private fun isElapsed(
        sinceMillis: Long?,
        millis: Long,
    ) = sinceMillis == null || clock.nowMillis() - sinceMillis >= millis

    private fun totalIntervalMillis(): Long =
        (totalBytes * MILLIS_PER_SECOND / TOTAL_BYTES_PER_SECOND)
            .coerceIn(TOTAL_INTERVAL_MILLIS, TOTAL_INTERVAL_LIMIT_MILLIS)

    /** Returns what generations hold and wait for; plain calls come and go too fast to be worth a report. */
    private fun memory(work: WorkByReplica): Map<String, Pair<Long, Long>> =
        work.mapValues { it.value.tokens to it.value.promptTokens }.filterValues { it.first > 0 }

    companion object {
        /** Returns the work at [replicas]; replicas without work are left out. */
        fun work(replicas: Collection<Replica>): WorkByReplica =
            replicas
                .filter { it.load.running > 0 || it.load.tokens > 0 }
                .associate { it.entry.id.value to PeerWork(it.load.running, it.load.tokens, it.load.promptTokens) }

        private const val MILLIS_PER_SECOND = 1_000L

        /** Up to this many instances, messages to all cost less than the delay of sums: 16 x 1.5 messages a second. */
        private const val MESH_INSTANCES = 16

        /** Silence longer than a few of these means that an instance is gone. */
        private const val HEARTBEAT_MILLIS = 1_000L

        /** Several questions fit into the silence after which an aggregator is left. */
        private const val UNANSWERED_HEARTBEAT_MILLIS = 300L

        /** Three heartbeats, and an address that is told every second or two in a large fleet. */
        private const val LIVE_MILLIS = 3_500L

        /** After this time without a report, an address is tried only now and then. */
        private const val SILENT_MILLIS = 6_000L

        /** One in this many reports goes to silent addresses too. */
        private const val SILENT_ROUNDS = 20L

        /** Half the time to read one prompt; instances that place by older totals choose the same replica. */
        private const val TOTAL_INTERVAL_MILLIS = 100L

        /** Shorter than the silence after which an aggregator is left. */
        private const val TOTAL_INTERVAL_LIMIT_MILLIS = 700L

        /** What an instance may receive as totals: five a second where 95 instances use 33 replicas. */
        private const val TOTAL_BYTES_PER_SECOND = 8_000L

        /** An id and its figures in a message. */
        private const val BYTES_PER_ENTRY = 30

        /** Between zones staler sums do, since generations are placed in the own zone first. */
        private const val SUM_INTERVAL_MILLIS = 200L

        /** How long one instance of a zone whose sums are not known is told this zone's. */
        private const val ZONE_PROBE_MILLIS = 800L

        /** One total in this many names the members' addresses, about one in two seconds. */
        private const val ADDRESS_ROUNDS = 8L
    }
}
