package io.sequoiawheel.core.rollout

import io.sequoiawheel.core.model.Clock
import kotlin.math.pow

/**
 * What one instance knows of the newest order for a service, and its own part in it. Confined to one thread.
 *
 * @param orderedAtMillis when the order was written, as far as known
 */
class ServiceRollout internal constructor(
    val order: RolloutOrder,
    stage: RolloutStage,
    orderedAtMillis: Long,
    internal val budget: CanaryBudget,
    private val clock: Clock,
) {
    val evidence = RolloutEvidence(clock)

    /** The times of the order. */
    val plan = RolloutPlan(order.durationMillis)

    /** How far the order has been carried out, as the store or another instance says. */
    var stage = stage
        private set

    /** Whether the new version is known to be bad, even if the verdict is not written yet. */
    var isBad = false
        private set

    var orderedAtMillis = orderedAtMillis
        private set

    /** When the shift began, as far as this instance knows, or null. */
    var shiftedAtMillis: Long? = if (stage == RolloutStage.SHIFTING) clock.nowMillis() - missedShiftMillis() else null
        private set

    val elapsedMillis: Long get() = clock.nowMillis() - orderedAtMillis
    val shiftedMillis: Long get() = shiftedAtMillis?.let { clock.nowMillis() - it } ?: 0

    private var heldSinceMillis: Long? = null
    private var heldMillis = 0L

    /** The part of [shiftedMillis] in which the share of the new version grew. */
    val rampedMillis: Long
        get() = (shiftedMillis - heldMillis - (heldSinceMillis?.let { clock.nowMillis() - it } ?: 0)).coerceAtLeast(0)

    /** Requests that this instance received for the service, and those that it sent to the new version. */
    val received: Int get() = budget.received
    val admitted: Int get() = budget.admitted

    /** Whether other instances should be notified of the order: it is in force, or its verdict is recent. */
    val isReported: Boolean get() = !stage.isFinal || elapsedMillis < order.durationMillis + REPORTED_MILLIS

    /** Moves to [next] unless the order is further already. Returns whether the stage changed. */
    fun advance(next: RolloutStage): Boolean {
        if (next <= stage || stage.isFinal) return false
        replaceStage(next)
        return true
    }

    /** Adopts the verdict that the store holds, which takes precedence over one that this instance received. */
    fun adoptVerdict(verdict: RolloutStage) {
        if (verdict != stage) replaceStage(verdict)
    }

    private fun replaceStage(next: RolloutStage) {
        stage = next
        if (next == RolloutStage.SHIFTING) shiftedAtMillis = clock.nowMillis()
    }

    /** Whether all new requests go to the new version, so that runs move there too. */
    val isRampOver: Boolean get() = !isHeld && rampedMillis >= plan.rampMillis

    /** Whether the evidence speaks against sending the new version more than the canary share for now. */
    val isHeld: Boolean get() = heldSinceMillis != null

    /**
     * Returns the share of new requests that the new version receives during the shift. It grows from [canaryShare] by
     * a constant factor in equal times, so that a version that turns bad has received few requests by the time its
     * answers show it.
     */
    fun shiftedShare(canaryShare: Double): Double {
        val start = canaryShare.coerceIn(SMALLEST_SHARE, 1.0)
        val progress = (rampedMillis.toDouble() / plan.rampMillis).coerceAtMost(1.0)
        return if (isHeld) start else start.pow(1 - progress)
    }

    /** Returns the least time that the shift has taken by now if it began in time. */
    private fun missedShiftMillis(): Long =
        if (elapsedMillis > order.durationMillis) 0 else (elapsedMillis - plan.latestShiftMillis).coerceAtLeast(0)

    /** Records whether the new version should receive no more than the canary share for now. */
    fun hold(isHeld: Boolean) {
        val since = heldSinceMillis
        when {
            !isHeld && since != null -> {
                heldMillis += clock.nowMillis() - since
                heldSinceMillis = null
            }

            isHeld && since == null && stage == RolloutStage.SHIFTING -> heldSinceMillis = clock.nowMillis()
        }
    }

    /** Records that the new version is bad. Returns whether that is new. */
    fun markBad(): Boolean = !isBad.also { isBad = true }

    /** Records that the order is at least [elapsedMillis] old. */
    fun observeAge(elapsedMillis: Long) {
        orderedAtMillis = minOf(orderedAtMillis, clock.nowMillis() - elapsedMillis)
    }

    /** Returns what this instance knows, with its [oldRuns] in progress on other versions. */
    fun share(oldRuns: Int) =
        RolloutShare(
            order.service.value,
            order.version,
            order.revision,
            order.durationMillis,
            elapsedMillis,
            stage,
            isBad,
            budget.received,
            budget.admitted,
            oldRuns,
            evidence = if (stage.isFinal) emptyMap() else evidence.snapshot(),
        )

    private companion object {
        /** The share at which the shift starts if the canary share is smaller. */
        const val SMALLEST_SHARE = 0.01

        /** An instance that lost the store learns of the verdict from the others within this time. */
        const val REPORTED_MILLIS = 15_000L
    }
}
