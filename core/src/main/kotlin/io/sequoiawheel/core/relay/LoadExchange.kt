/*
 * What entry instances tell each other: the work that each has at the replicas. Reports are sent as datagrams, may be
 * lost or overtake one another, and are forgotten when their sender falls silent.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The work of one instance at one replica. Names are short, since reports cross availability zones. */
@Serializable
data class PeerWork(
    @SerialName("r") val running: Int,
    @SerialName("t") val tokens: Long,
    @SerialName("p") val promptTokens: Long = 0,
)

/**
 * The report of one instance.
 *
 * @property sender name of the instance
 * @property start tells two incarnations of the sender apart; the later one has the larger number
 * @property sequence grows with each report of an incarnation
 * @property endpoint where the sender listens for reports
 * @property zone the sender's availability zone
 */
@Serializable
data class PeerReport(
    @SerialName("i") val sender: String,
    @SerialName("s") val start: Long,
    @SerialName("n") val sequence: Long,
    @SerialName("e") val endpoint: String,
    @SerialName("w") val work: Map<String, PeerWork>,
    @SerialName("l") val isLeaving: Boolean = false,
    @SerialName("z") val zone: String = "",
)

/** The newest report of each other instance. Confined to one thread. */
class PeerLoads(
    private val clock: Clock,
) {
    private class Known(
        val report: PeerReport,
        val atMillis: Long,
    )

    private val known = HashMap<String, Known>()
    private val endpoints = HashMap<String, Long>()

    /** Instances that reported lately, this one included. */
    val instanceCount: Int get() = 1 + known.values.count { isFresh(it) }

    /** Instances that reported lately, this one not included. */
    fun live(): List<LivePeer> =
        known.values.filter(::isFresh).mapNotNull { peer ->
            val endpoint = Endpoint.parseOrNull(peer.report.endpoint) ?: return@mapNotNull null
            LivePeer(peer.report.sender, ZoneName(peer.report.zone), endpoint)
        }

    /** Adds an address at which another instance may listen. */
    fun addEndpoint(endpoint: String) {
        endpoints.putIfAbsent(endpoint, clock.nowMillis())
    }

    /** Takes a report. Returns false if a newer one of its sender is known. */
    fun receive(report: PeerReport): Boolean {
        val before = known[report.sender]?.report
        val isOlder =
            before != null &&
                (report.start < before.start || report.start == before.start && report.sequence <= before.sequence)
        if (isOlder) return false
        if (report.isLeaving) known.remove(report.sender) else known[report.sender] = Known(report, clock.nowMillis())
        endpoints[report.endpoint] = clock.nowMillis()
        return true
    }

    /** Returns where to send reports: to every instance that was heard of lately, to silent ones now and then. */
    fun destinations(includesSilent: Boolean): List<String> {
        val now = clock.nowMillis()
        endpoints.entries.removeIf { now - it.value > FORGET_MILLIS }
        return endpoints.filter { includesSilent || now - it.value <= SILENT_MILLIS }.keys.toList()
    }

    /** Sets what the other instances have at each of [replicas]. */
    fun apply(replicas: Collection<Replica>) {
        val fresh = known.values.filter(::isFresh)
        for (replica in replicas) {
            val work = fresh.mapNotNull { it.report.work[replica.entry.id.value] }
            replica.load.remoteRunning = work.sumOf { it.running }
            replica.load.remoteTokens = work.sumOf { it.tokens }
            replica.load.remotePromptTokens = work.sumOf { it.promptTokens }
        }
    }

    private fun isFresh(peer: Known) = clock.nowMillis() - peer.atMillis <= REPORT_LIFE_MILLIS

    companion object {
        /** Returns the report of [replicas]' work; replicas without work are left out. */
        fun work(replicas: Collection<Replica>): Map<InstanceId, PeerWork> =
            replicas
                .filter { it.load.running > 0 || it.load.tokens > 0 }
                .associate { it.entry.id to PeerWork(it.load.running, it.load.tokens, it.load.promptTokens) }

        /** Three lost reports in a row mean that the sender is gone or cut off. */
        private const val REPORT_LIFE_MILLIS = 3_500L

        /** After this time without a report, an address is tried only now and then. */
        private const val SILENT_MILLIS = 6_000L

        /** An address that stays silent this long belongs to a machine that is gone. */
        private const val FORGET_MILLIS = 120_000L
    }
}
