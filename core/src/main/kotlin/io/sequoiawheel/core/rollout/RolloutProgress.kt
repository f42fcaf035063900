package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.ServiceName

/** A stage that the store should hold for an order, with the [reason]. */
data class RolloutTarget(
    val stage: RolloutStage,
    val reason: String,
)

/** A change of what this instance knows of an order. */
data class RolloutNews(
    val rollout: ServiceRollout,
    val text: String,
    val reason: String? = null,
)

/**
 * Combines what the instances tell each other with the orders of [gate], and assesses them. Each instance assesses the
 * evidence of all, so that it stops to send to a bad version without waiting for the verdict. Confined to one thread.
 */
class RolloutProgress(
    private val gate: RolloutGate,
) {
    private class Recorded(
        val elapsedMillis: Long,
        val instances: Int,
        val evidence: EvidenceByRoute,
    )

    private val history = HashMap<ServiceRollout, ArrayDeque<Recorded>>()

    /** Adopts what [known], the sum over all instances, says. Returns what is new to this instance. */
    fun merge(known: RolloutReport): List<RolloutNews> =
        known.shares.flatMap { share ->
            val news = ArrayList<RolloutNews>()
            adoptOrder(share)?.let { news += RolloutNews(it, "rollout received from another instance") }
            val rollout = rolloutOf(share) ?: return@flatMap news
            rollout.observeAge(share.elapsedMillis)
            if (share.isBad && rollout.markBad()) news += RolloutNews(rollout, "version reported bad")
            if (rollout.advance(share.stage)) news += RolloutNews(rollout, "rollout stage received")
            rollout.evidence.recordOverdue(share.evidence)
            news
        }

    /** Returns what [known] says of the order of [rollout], or null if it says nothing. */
    fun shareOf(
        rollout: ServiceRollout,
        known: RolloutReport,
    ): RolloutShare? = known.shares.firstOrNull { rolloutOf(it) === rollout }

    /** Returns what the evidence in [known] calls for in [rollout]; a version that it finds bad once stays bad. */
    fun assess(
        rollout: ServiceRollout,
        known: RolloutReport,
    ): RolloutAssessment {
        val share = shareOf(rollout, known) ?: rollout.share(oldRuns = 0)
        val assessment =
            RolloutVerdict.assess(
                share.copy(
                    stage = rollout.stage,
                    elapsedMillis = rollout.elapsedMillis,
                    isBad = share.isBad || rollout.isBad,
                ),
                rollout.shiftedMillis,
                earlier(rollout, share),
                rollout.shiftedMillis - rollout.rampedMillis,
            )
        if (assessment.step == RolloutStep.REVERT) rollout.markBad()
        rollout.hold(assessment.isSuspect)
        return assessment
    }

    /** Returns the stage that [assessment] calls for, or null if the stage in force stays. */
    fun target(assessment: RolloutAssessment): RolloutTarget? =
        when (assessment.step) {
            RolloutStep.WAIT -> null
            RolloutStep.SHIFT -> RolloutTarget(RolloutStage.SHIFTING, assessment.reason)
            RolloutStep.COMPLETE -> RolloutTarget(RolloutStage.COMPLETE, assessment.reason)
            RolloutStep.REVERT -> RolloutTarget(RolloutStage.REVERTED, assessment.reason)
        }

    /** Records [share], and returns the evidence of [RECENT_MILLIS] before, or null if there is none to compare. */
    private fun earlier(
        rollout: ServiceRollout,
        share: RolloutShare,
    ): EvidenceByRoute? {
        history.keys.retainAll(gate.all.toSet())
        val records = history.getOrPut(rollout, ::ArrayDeque)
        val now = rollout.elapsedMillis
        if (records.isEmpty() || now - records.last().elapsedMillis >= RECORD_INTERVAL_MILLIS) {
            records.addLast(Recorded(now, share.instances, share.evidence))
        }
        while (records.size > 1 && now - records[1].elapsedMillis >= RECENT_MILLIS) records.removeFirst()
        // The counts of an instance that ended are missing from the sum, and would be missing from the difference.
        return records
            .first()
            .takeIf { now - it.elapsedMillis >= RECENT_MILLIS && share.instances >= it.instances }
            ?.evidence
    }

    private fun adoptOrder(share: RolloutShare): ServiceRollout? {
        val service = ServiceName(share.service)
        if (!gate.isNews(service, share.revision) || share.durationMillis <= 0) return null
        val order = RolloutOrder(service, share.version, share.durationMillis, share.revision)
        return gate.begin(order, share.stage, share.elapsedMillis.coerceAtLeast(0), isLate = true)
    }

    private fun rolloutOf(share: RolloutShare) =
        gate[ServiceName(share.service)]?.takeIf { it.order.revision == share.revision }

    private companion object {
        /** Long enough for ten responses at the canary share of 50 requests a second. */
        const val RECENT_MILLIS = 2_000L
        const val RECORD_INTERVAL_MILLIS = 250L
    }
}
