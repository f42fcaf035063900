/*
 * Decides whether a generation is sent to an engine, waits at its instance or is refused. An engine's queue cannot be
 * reordered, so a request stays at its instance while no engine has the capacity for it, for a part of its objective.
 */
package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.pace.ServiceTimeEstimator
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.Replica
import org.apache.commons.rng.UniformRandomProvider

/** Decides on one request at a time, from the load on the engines. Confined to one thread. */
class AdmissionPolicy(
    private val estimator: ServiceTimeEstimator,
    private val random: UniformRandomProvider,
) {
    /** Returns the decision on [request] now, given the usable [engines] of its service. */
    fun decide(
        request: AdmissionRequest,
        engines: List<Replica>,
        engine: EngineProfile,
        nowMillis: Long,
    ): AdmissionDecision {
        val waitedMillis = nowMillis - request.arrivedAtMillis
        val candidates = engines.filter { it.isReachable && !it.isPaused && !it.isCold }
        if (candidates.isEmpty() || request.demand.tokens > engine.memoryTokens) {
            return AdmissionDecision.Admit(AdmissionReason.NO_CHOICE, AdmissionInputs(waitedMillis))
        }
        val (best, firstEventMillis) =
            candidates
                .map { it to estimator.firstEventMillis(it, request.demand, engine) }
                .minBy { (_, millis) -> millis }
        val canMeetObjective = firstEventMillis <= request.objectiveMillis - waitedMillis
        val isDeferrable = request.isInExcess || !canMeetObjective && request.isMetByIdleEngine
        val progress = (waitedMillis.toDouble() / request.longestWaitMillis).coerceIn(0.0, 1.0)
        val thresholds = AdmissionThresholds.of(request, progress, isDeferrable)
        val openEngines = candidates.count { thresholds.admits(it, request, engine) }
        val inputs = AdmissionInputs(waitedMillis, firstEventMillis.toLong(), canMeetObjective, openEngines)
        if (openEngines > 0) return AdmissionDecision.Admit(AdmissionReason.CAPACITY, inputs, isDeferrable)

        val events = request.demand.outputTokens.toDouble() / engine.tokensPerEvent.coerceAtLeast(1)
        val endMillis = nowMillis + firstEventMillis + events * estimator.eventGapMillis(best, engine)
        if (endMillis > request.deadlineMillis && isRefusalAllowed(engines, engine)) {
            val remainingMillis = request.deadlineMillis - nowMillis
            return AdmissionDecision.Refuse(inputs, retryAfterMillis(firstEventMillis, remainingMillis))
        }
        if (progress >= 1.0) return AdmissionDecision.Admit(AdmissionReason.LONGEST_WAIT, inputs, isDeferrable)
        return AdmissionDecision.Wait(AdmissionReason.ENGINES_FULL, inputs)
    }

    /** A refusal is accurate only while the engines are in use and requests wait there. */
    private fun isRefusalAllowed(
        engines: List<Replica>,
        engine: EngineProfile,
    ): Boolean {
        val taken = engines.sumOf { it.load.totalRunning.toLong() }
        return taken >= engines.size.toLong() * engine.slots * REFUSAL_SLOT_SHARE ||
            engines.all { it.load.totalTokens >= engine.memoryTokens * REFUSAL_MEMORY_SHARE }
    }

    /** Returns a part of the expected wait that callers still honour, with jitter so that they return spread. */
    private fun retryAfterMillis(
        firstEventMillis: Double,
        remainingMillis: Long,
    ): Long {
        val longest = (remainingMillis / HONOURED_PART / (1 + JITTER_SHARE)).coerceAtLeast(MINIMUM_RETRY_MILLIS)
        val wait = (firstEventMillis / 2).coerceIn(MINIMUM_RETRY_MILLIS, longest)
        return (wait * (1 + random.nextDouble() * JITTER_SHARE)).toLong()
    }

    private companion object {
        /** A refusal costs as much as a broken stream below half of the slots; the reports of others are late. */
        const val REFUSAL_SLOT_SHARE = 0.6

        /** Requests certainly wait there, although the estimates of outputs may be too long. */
        const val REFUSAL_MEMORY_SHARE = 1.25

        /** Callers honour up to a third of the time that they have left. */
        const val HONOURED_PART = 3.0
        const val JITTER_SHARE = 0.5
        const val MINIMUM_RETRY_MILLIS = 200.0
    }
}
