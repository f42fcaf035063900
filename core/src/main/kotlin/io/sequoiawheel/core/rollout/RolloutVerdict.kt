package io.sequoiawheel.core.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.ln1p

/** What the evidence calls for. */
enum class RolloutStep { WAIT, SHIFT, COMPLETE, REVERT }

/**
 * A [step] with the [reason] for it, in words for an operator.
 *
 * @property isSuspect whether the evidence, not yet conclusive, speaks against sending more requests than now
 */
data class RolloutAssessment(
    val step: RolloutStep,
    val reason: String,
    val isSuspect: Boolean = false,
)

/**
 * Decides on an order from the evidence of all instances. Bad responses of the new version, which are failures and
 * slow responses, are compared with the share of bad responses of the old version, by route and over all routes: the
 * version is bad if as many would be too unlikely for a version like the old one.
 */
object RolloutVerdict {
    /**
     * Returns what [share], the sum over all instances, calls for.
     *
     * @param shiftedMillis time since the shift began
     * @param heldMillis the part of it in which the evidence kept the share of the new version from growing
     * @param earlier the evidence of some time ago; what came since is assessed by itself too, since a version that
     *   turns bad would pass for long on its earlier responses
     */
    fun assess(
        share: RolloutShare,
        shiftedMillis: Long = 0,
        earlier: EvidenceByRoute? = null,
        heldMillis: Long = 0,
    ): RolloutAssessment {
        val isShifting = share.stage == RolloutStage.SHIFTING
        val recent = earlier?.let { recent(share.evidence, it) }
        // While requests shift, few remain on the old version to compare with, so more must speak against the new one.
        val isComparable = !isShifting || recent != null && isComparable(recent)
        val recentFindings = recent?.let { findings(it, share.evidence, isComparable, " recently") }.orEmpty()
        val worst =
            (findings(share.evidence, share.evidence, isComparable, "") + recentFindings).minByOrNull { it.chance }
        // Earlier responses weigh on the sum for long, so a slow spell of the past must not hold the shift.
        val isSuspect =
            recentFindings.any { it.chance < HOLD_CHANCE } || worst != null && worst.chance < LATE_REVERT_CHANCE
        val certainty = if (isComparable) REVERT_CHANCE else SHIFTING_CHANCE
        val plan = RolloutPlan(share.durationMillis)
        return when {
            share.isBad -> RolloutAssessment(RolloutStep.REVERT, worst?.toString() ?: "reported by another instance")
            worst != null && worst.chance < certainty -> RolloutAssessment(RolloutStep.REVERT, worst.toString())
            isShifting ->
                assessShift(share, plan, shiftedMillis, heldMillis, worst).copy(isSuspect = isSuspect)
            else -> assessCanary(share, plan, worst)
        }
    }

    private fun assessShift(
        share: RolloutShare,
        plan: RolloutPlan,
        shiftedMillis: Long,
        heldMillis: Long,
        worst: Finding?,
    ): RolloutAssessment {
        // After an outage of the store the shift may begin when the verdict is due; the version must be seen first.
        val isDue =
            if (share.elapsedMillis <= share.durationMillis) {
                share.elapsedMillis >= plan.completeMillis && shiftedMillis >= plan.minimumShiftMillis
            } else {
                shiftedMillis >= plan.shiftMillis
            }
        val isMoved = share.oldRuns == 0 && shiftedMillis - heldMillis >= plan.minimumShiftMillis
        val answered = share.evidence.values.sumOf { it.new.responses }
        val isSuspect = worst != null && worst.chance < LATE_REVERT_CHANCE
        return when {
            isDue && isSuspect -> RolloutAssessment(RolloutStep.REVERT, worst.toString())
            isDue && heldMillis > plan.longestHoldMillis ->
                RolloutAssessment(RolloutStep.REVERT, "suspicious responses held the shift for $heldMillis ms")
            isSuspect -> RolloutAssessment(RolloutStep.WAIT, worst.toString())
            isMoved -> RolloutAssessment(RolloutStep.COMPLETE, "$answered responses, all runs moved")
            isDue -> RolloutAssessment(RolloutStep.COMPLETE, "$answered responses, ${share.oldRuns} runs not moved")
            else -> RolloutAssessment(RolloutStep.WAIT, "${share.oldRuns} runs on the old version")
        }
    }

    private fun assessCanary(
        share: RolloutShare,
        plan: RolloutPlan,
        worst: Finding?,
    ): RolloutAssessment {
        val answered = share.evidence.values.sumOf { it.new.responses }
        val isDue = share.elapsedMillis >= plan.latestShiftMillis
        val isLast = share.elapsedMillis >= plan.completeMillis
        val isSuspect = worst != null && worst.chance < LATE_REVERT_CHANCE && worst.bad >= LATE_MINIMUM_BAD
        val isClear = answered >= AMPLE_RESPONSES && (worst == null || worst.chance > CLEAR_CHANCE)
        return when {
            isDue && isSuspect -> RolloutAssessment(RolloutStep.REVERT, worst.toString())
            isDue && answered >= 1 ->
                RolloutAssessment(
                    RolloutStep.SHIFT,
                    "$answered responses, none of them conclusive",
                )
            isLast -> RolloutAssessment(RolloutStep.REVERT, "no response of the new version")
            isClear && share.elapsedMillis >= plan.earliestShiftMillis ->
                RolloutAssessment(RolloutStep.SHIFT, "$answered responses, as good as the old version")
            else -> RolloutAssessment(RolloutStep.WAIT, "$answered responses")
        }
    }

    /** Bad responses of the new version in [place], and the chance of as many if it were like the old one. */
    private class Finding(
        val place: String,
        val bad: Int,
        val responses: Int,
        val expected: Double,
        val failures: Int,
    ) {
        val chance = upperTail(bad, responses, expected)

        override fun toString() =
            "$place: $bad of $responses bad ($failures failed, ${bad - failures} slow), " +
                "expected at most %.1f in 100".format(expected * PERCENT)
    }

    private fun recent(
        all: EvidenceByRoute,
        earlier: EvidenceByRoute,
    ): EvidenceByRoute =
        all.mapValues { (route, parts) ->
            val before = earlier[route] ?: VersionEvidence()
            VersionEvidence(parts.old - before.old, parts.new - before.new)
        }

    /** Whether the old version answered enough in the same time for a slow spell of the service to show there too. */
    private fun isComparable(recent: EvidenceByRoute): Boolean =
        recent.values.sumOf { it.old.responses } >= recent.values.sumOf { it.new.responses } * COMPARABLE_SHARE

    /** Returns what [evidence] says, where [all] decides which responses are slow. */
    private fun findings(
        evidence: EvidenceByRoute,
        all: EvidenceByRoute,
        isComparable: Boolean,
        period: String,
    ): List<Finding> {
        val routes =
            evidence.filterValues { it.new.responses > 0 }.map { (route, parts) ->
                val usual = all.getValue(route).old
                val tolerance = if (isComparable) 0.0 else SHIFTING_TOLERANCE
                val share = maxOf(expectedShare(parts.old, usual), expectedShare(usual, usual))
                val expected = share + tolerance
                val bad = badOf(parts.new, usual)
                Finding(
                    route + period,
                    bad,
                    parts.new.responses,
                    expected.coerceAtMost(LARGEST_EXPECTED),
                    parts.new.failures,
                )
            }
        if (routes.size < 2) return routes
        val responses = routes.sumOf { it.responses }
        val expected = routes.sumOf { it.expected * it.responses } / responses
        val total =
            Finding("all routes$period", routes.sumOf { it.bad }, responses, expected, routes.sumOf { it.failures })
        return routes + total
    }

    private fun expectedShare(
        cell: EvidenceCell,
        usual: EvidenceCell,
    ): Double {
        if (cell.responses < MINIMUM_OLD_RESPONSES && cell !== usual) return 0.0
        return maxOf(SMALLEST_EXPECTED, (badOf(cell, usual) + 1.0) / (cell.responses + 2.0) * EXPECTED_FACTOR)
    }

    /** Returns the bad responses of [cell], with those as slow that are several times slower than those of [old]. */
    private fun badOf(
        cell: EvidenceCell,
        old: EvidenceCell,
    ): Int {
        val slowFirst = SlowLimits.firstEventMillis(old)?.let { limit -> countAbove(cell.firstEvents, limit) } ?: 0
        val slowGaps = SlowLimits.gapMillis(old)?.let { limit -> countAbove(cell.gaps, limit) } ?: 0
        return minOf(cell.responses, cell.failures + maxOf(slowFirst, slowGaps))
    }

    private fun countAbove(
        counts: Map<Long, Int>,
        limit: Long,
    ) = counts.entries.sumOf { if (it.key > limit) it.value else 0 }

    /** Returns the probability of at least [count] of [total] events that have [probability] each. */
    internal fun upperTail(
        count: Int,
        total: Int,
        probability: Double,
    ): Double {
        if (count <= 0) return 1.0
        var logCombinations = 0.0
        var sum = 0.0
        for (k in 0..total) {
            if (k > 0) logCombinations += ln((total - k + 1).toDouble()) - ln(k.toDouble())
            if (k >= count) sum += exp(logCombinations + k * ln(probability) + (total - k) * ln1p(-probability))
        }
        return sum.coerceAtMost(1.0)
    }

    /**
     * The assessment is repeated with each response, so a good version is reverted by chance about ten times as often
     * as this; a version whose every second response is bad is recognized after about ten.
     */
    private const val REVERT_CHANCE = 1e-4

    /** At the end there are no further responses to wait for, and a doubtful version costs all callers. */
    private const val LATE_REVERT_CHANCE = 5e-3
    private const val LATE_MINIMUM_BAD = 2
    private const val SHIFTING_CHANCE = 1e-5
    private const val COMPARABLE_SHARE = 0.5

    /** One or two bad responses of ten hold the shift. Unlike a verdict, later responses undo this. */
    private const val HOLD_CHANCE = 0.05
    private const val SHIFTING_TOLERANCE = 0.05

    /** Of 30 responses of a version with every tenth bad, 96 in 100 times at least one is. */
    private const val AMPLE_RESPONSES = 30
    private const val CLEAR_CHANCE = 0.05

    /** A share of bad responses that does not yet make a version worse than its predecessor. */
    private const val SMALLEST_EXPECTED = 0.02
    private const val EXPECTED_FACTOR = 1.25

    /** Fewer responses of the old version in a short time do not raise what is expected of the new one. */
    private const val MINIMUM_OLD_RESPONSES = 5
    private const val LARGEST_EXPECTED = 0.9
    private const val PERCENT = 100
}

/** The times of an order, in milliseconds after it. */
class RolloutPlan(
    durationMillis: Long,
) {
    /** Time for the write of the verdict, also if the store is slow or another instance must take over. */
    private val reserveMillis =
        (durationMillis * RESERVE_SHARE).toLong().coerceAtLeast(RESERVE_MILLIS).coerceAtMost(durationMillis * 3 / 10)

    /** How long runs may take to move or end. */
    val shiftMillis = (durationMillis * SHIFT_SHARE).toLong().coerceAtMost(LONGEST_SHIFT_MILLIS)

    /** Time for all instances to report their runs after the shift began. */
    val minimumShiftMillis = (shiftMillis * MINIMUM_SHIFT_SHARE).toLong()

    /** When the verdict is written at the latest. */
    val completeMillis = durationMillis - reserveMillis
    val latestShiftMillis = completeMillis - shiftMillis

    /** Over this time the share of the new version grows to all new requests; runs move after it. */
    val rampMillis = (shiftMillis * RAMP_SHARE).toLong().coerceAtLeast(1)

    /** A version whose shift was held for longer has not shown in time that it can serve all requests. */
    val longestHoldMillis = ((shiftMillis - rampMillis) * LONGEST_HOLD_SHARE).toLong()

    /** Over this time, after the ramp, the instances begin to move their runs. */
    val moveSpreadMillis = (shiftMillis * MOVE_SPREAD_SHARE).toLong().coerceAtLeast(1)
    val earliestShiftMillis = (durationMillis * CANARY_SHARE).toLong().coerceAtMost(latestShiftMillis)

    private companion object {
        const val RESERVE_SHARE = 0.12

        /** An instance that takes over waits for up to a second, and a slow write takes 300 ms. */
        const val RESERVE_MILLIS = 1_400L
        const val SHIFT_SHARE = 0.3
        const val LONGEST_SHIFT_MILLIS = 15_000L

        /** Slow responses take up to 1.2 s to be known to all; at 12 s the share grows 3.6-fold in this time. */
        const val RAMP_SHARE = 0.6
        const val LONGEST_HOLD_SHARE = 0.7
        const val MOVE_SPREAD_SHARE = 0.13

        /** At 12 s this is 3.2 s, in which the responses of the whole ramp arrive and are reported. */
        const val MINIMUM_SHIFT_SHARE = 0.9

        /** Versions may turn bad after some seconds, so the first seconds are not enough. */
        const val CANARY_SHARE = 0.6
    }
}
