package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.Replica

/** A request that waits at this instance. */
class WaitingRequest internal constructor(
    val request: AdmissionRequest,
) {
    internal var canMeetObjective = true
}

/**
 * The requests that wait at one instance. A request goes after those of higher precedence, unless these can no longer
 * meet their objective. Confined to one thread.
 */
class AdmissionQueue(
    private val policy: AdmissionPolicy,
) {
    private val waiting = LinkedHashSet<WaitingRequest>()

    /** Returns the number of waiting requests with the [rank], of which those of the last one include all above it. */
    fun size(rank: Int): Int = waiting.count { rankLabel(it.request.rank) == rank }

    /** Adds [request] until [leave] is called. */
    fun enter(request: AdmissionRequest): WaitingRequest = WaitingRequest(request).also(waiting::add)

    /** Removes [waiter]. */
    fun leave(waiter: WaitingRequest) {
        waiting -= waiter
    }

    /** Returns the decision on [waiter] now. */
    fun decide(
        waiter: WaitingRequest,
        engines: List<Replica>,
        engine: EngineProfile,
        nowMillis: Long,
    ): AdmissionDecision {
        val decision = policy.decide(waiter.request, engines, engine, nowMillis)
        waiter.canMeetObjective = decision.inputs.canMeetObjective
        val inputs = decision.inputs
        return when {
            decision !is AdmissionDecision.Wait && decision.reason != AdmissionReason.CAPACITY -> decision
            waiting.size > MAXIMUM_WAITING ->
                AdmissionDecision.Admit(AdmissionReason.QUEUE_FULL, inputs, isDeferrable = !inputs.canMeetObjective)
            decision is AdmissionDecision.Admit && isHeldBack(waiter) ->
                if (inputs.waitedMillis < waiter.request.longestWaitMillis) {
                    AdmissionDecision.Wait(AdmissionReason.HELD_BACK, inputs)
                } else {
                    decision
                }
            else -> decision
        }
    }

    private fun isHeldBack(waiter: WaitingRequest): Boolean =
        waiting.any { other ->
            other !== waiter &&
                (other.canMeetObjective || !waiter.canMeetObjective) &&
                PRECEDENCE.compare(other.request, waiter.request) < 0
        }

    companion object {
        /** Labels of ranks in metrics are 0 to this number, which stands for all less urgent ones. */
        const val LAST_RANK_LABEL = 2

        /** An instance receives a request for a service about once every two seconds; each decision costs time. */
        private const val MAXIMUM_WAITING = 64

        private val PRECEDENCE =
            compareBy<AdmissionRequest>({ it.isInExcess }, { it.rank }, { it.arrivedAtMillis + it.longestWaitMillis })
                .thenBy { GenerationSize.occupancyMillis(it.demand) }
                .thenBy { it.deadlineMillis }

        /** Returns the label of [rank] in metrics. */
        fun rankLabel(rank: Int): Int = rank.coerceIn(0, LAST_RANK_LABEL)
    }
}
