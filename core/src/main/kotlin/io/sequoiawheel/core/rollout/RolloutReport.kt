/*
 * What instances tell each other about rollouts, as a field of their load messages. Counts are those since the order,
 * so that a lost or repeated message does no harm. Instances share no clock, so times are ages.
 */
package io.sequoiawheel.core.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Responses of one version on one route.
 *
 * @property responses requests that were answered, or are unanswered for so long that they count as slow
 * @property failures errors, broken responses and lost connections
 * @property firstEvents number of responses by time to the first event in milliseconds
 * @property gaps number of streams by time between events in milliseconds
 */
@Serializable
data class EvidenceCell(
    @SerialName("n") val responses: Int = 0,
    @SerialName("f") val failures: Int = 0,
    @SerialName("t") val firstEvents: Map<Long, Int> = emptyMap(),
    @SerialName("g") val gaps: Map<Long, Int> = emptyMap(),
) {
    operator fun plus(other: EvidenceCell) =
        EvidenceCell(
            responses + other.responses,
            failures + other.failures,
            sum(firstEvents, other.firstEvents),
            sum(gaps, other.gaps),
        )

    /** Returns the responses of this cell that [earlier], an earlier state of it, lacks. */
    operator fun minus(earlier: EvidenceCell) =
        EvidenceCell(
            (responses - earlier.responses).coerceAtLeast(0),
            (failures - earlier.failures).coerceAtLeast(0),
            difference(firstEvents, earlier.firstEvents),
            difference(gaps, earlier.gaps),
        )

    private fun difference(
        counts: Map<Long, Int>,
        earlier: Map<Long, Int>,
    ) = counts.mapValues { (value, count) -> count - (earlier[value] ?: 0) }.filterValues { it > 0 }

    /** Returns the cell without values that no instance reports. */
    internal fun bounded() =
        EvidenceCell(
            responses.coerceIn(COUNTS),
            failures.coerceIn(COUNTS),
            firstEvents.bounded(),
            gaps.bounded(),
        )

    private fun Map<Long, Int>.bounded() =
        entries
            .filter { it.value in COUNTS && it.key >= 0 }
            .take(MAXIMUM_VALUES)
            .associate { it.toPair() }

    private fun sum(
        first: Map<Long, Int>,
        second: Map<Long, Int>,
    ): Map<Long, Int> {
        if (first.isEmpty()) return second
        if (second.isEmpty()) return first
        val sums = HashMap(first)
        second.forEach { (value, count) -> sums.merge(value, count, Int::plus) }
        return sums
    }

    companion object {
        val NONE = EvidenceCell()

        /** Far above the requests during an order; sums over a large fleet do not overflow. */
        private val COUNTS = 0..1_000_000

        /** A histogram with one digit of precision up to one minute has fewer values. */
        private const val MAXIMUM_VALUES = 300
    }
}

/** Responses of the old and the new version on one route over the same time. */
@Serializable
data class VersionEvidence(
    @SerialName("o") val old: EvidenceCell = EvidenceCell.NONE,
    @SerialName("n") val new: EvidenceCell = EvidenceCell.NONE,
) {
    operator fun plus(other: VersionEvidence) = VersionEvidence(old + other.old, new + other.new)

    internal fun bounded() = VersionEvidence(old.bounded(), new.bounded())
}

/** Evidence by route and kind of request. */
typealias EvidenceByRoute = Map<String, VersionEvidence>

/**
 * What one or more instances know of one order.
 *
 * @property elapsedMillis time since the order
 * @property isBad whether the new version is known to be bad
 * @property received requests that reached the service since the order
 * @property admitted requests that were sent to the new version
 * @property oldRuns requests in progress on the old version
 * @property instances number of instances that the counts include
 */
@Serializable
data class RolloutShare(
    @SerialName("s") val service: String,
    @SerialName("v") val version: String,
    @SerialName("r") val revision: Long,
    @SerialName("d") val durationMillis: Long,
    @SerialName("e") val elapsedMillis: Long,
    @SerialName("g") val stage: RolloutStage,
    @SerialName("b") val isBad: Boolean = false,
    @SerialName("q") val received: Int = 0,
    @SerialName("a") val admitted: Int = 0,
    @SerialName("o") val oldRuns: Int = 0,
    @SerialName("i") val instances: Int = 1,
    @SerialName("c") val evidence: EvidenceByRoute = emptyMap(),
) {
    /** Returns what the instances of both shares know of the same order. */
    operator fun plus(other: RolloutShare): RolloutShare {
        val evidence = HashMap(evidence)
        other.evidence.forEach { (route, part) -> evidence.merge(route, part, VersionEvidence::plus) }
        return copy(
            elapsedMillis = maxOf(elapsedMillis, other.elapsedMillis),
            stage = maxOf(stage, other.stage),
            isBad = isBad || other.isBad,
            received = received + other.received,
            admitted = admitted + other.admitted,
            oldRuns = oldRuns + other.oldRuns,
            instances = instances + other.instances,
            evidence = evidence,
        )
    }

    internal fun bounded() =
        copy(evidence = evidence.entries.take(MAXIMUM_ROUTES).associate { it.key to it.value.bounded() })

    companion object {
        /** More routes than lead to any service; messages must fit into a datagram. */
        internal const val MAXIMUM_ROUTES = 32
    }
}

/** What the sender knows of the orders in force. */
@Serializable
data class RolloutReport(
    @SerialName("o") val shares: List<RolloutShare> = emptyList(),
) {
    /** Whether [other] says the same, apart from the time that has passed. */
    fun isSameAs(other: RolloutReport): Boolean = withoutAges() == other.withoutAges()

    /** Returns the report without the time that has passed since the orders. */
    fun withoutAges() = if (shares.isEmpty()) this else RolloutReport(shares.map { it.copy(elapsedMillis = 0) })

    /**
     * Returns what remains of this report of an instance that ended: its counts for the orders that [live] say are in
     * force. Without them a version could pass because the instance that had seen its failures ended.
     */
    fun ended(live: List<RolloutReport>): RolloutReport {
        val active = live.flatMap { it.shares }.filter { !it.stage.isFinal }.map { it.service to it.revision }
        return RolloutReport(shares.filter { it.service to it.revision in active }.map { it.copy(oldRuns = 0) })
    }

    companion object {
        val NONE = RolloutReport()

        /** Returns the sum of [reports] by order; of two orders for a service only the newer one counts. */
        fun sum(reports: Collection<RolloutReport>): RolloutReport {
            if (reports.all { it.shares.isEmpty() }) return NONE
            val byService = LinkedHashMap<String, RolloutShare>()
            for (share in reports.flatMap { it.shares.take(MAXIMUM_ORDERS) }.map { it.bounded() }) {
                val known = byService[share.service]
                byService[share.service] =
                    when {
                        known == null || share.revision > known.revision -> share
                        share.revision < known.revision -> known
                        else -> known + share
                    }
            }
            return RolloutReport(byService.values.sortedBy { it.service })
        }

        /** More services than are replaced at the same time. */
        private const val MAXIMUM_ORDERS = 16
    }
}
