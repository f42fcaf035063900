/*
 * Holds generations at this instance while no engine has the capacity for them, where callers compete for it. Nothing
 * of a held request has been sent, so that the end of the wait by its caller, its deadline or a shutdown proves that it
 * did not run. Held requests are decided again at short random intervals: loads change every 100 ms, and instances that
 * see the same loads must not send all of their requests at once.
 */
package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.pace.BatchServiceTimeEstimator
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.scheduling.AdmissionDecision
import io.sequoiawheel.core.scheduling.AdmissionPolicy
import io.sequoiawheel.core.scheduling.AdmissionQueue
import io.sequoiawheel.core.scheduling.AdmissionRequest
import io.sequoiawheel.core.scheduling.WaitingRequest
import io.sequoiawheel.core.scheduling.WorkspaceUsage
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.delay

/**
 * Decides when generations may be sent. Confined to the event loop.
 *
 * @param shutdownMillis returns the time until the process exits, or null if it is not shutting down
 */
internal class GenerationAdmission(
    private val context: RelayContext,
    private val shutdownMillis: () -> Long?,
) {
    private val queue = AdmissionQueue(AdmissionPolicy(BatchServiceTimeEstimator(), context.random))
    private val usage = WorkspaceUsage(context.clock)

    init {
        for (rank in 0..AdmissionQueue.LAST_RANK_LABEL) {
            context.metrics.gauge("generations.waiting", reason = "rank_$rank") { queue.size(rank) }
        }
    }

    /**
     * Returns true when the request of [exchange] may be sent to a replica of [service], or false after refusing it.
     */
    suspend fun awaitTurn(
        exchange: Exchange,
        service: RelayService,
    ): Boolean {
        val engine = service.engine?.takeIf { context.sharesCapacity(service) } ?: return true
        val request = request(exchange)
        val waiter = queue.enter(request)
        try {
            return awaitTurn(exchange, service, engine, waiter)
        } finally {
            queue.leave(waiter)
        }
    }

    private suspend fun awaitTurn(
        exchange: Exchange,
        service: RelayService,
        engine: EngineProfile,
        waiter: WaitingRequest,
    ): Boolean {
        var lastWait: AdmissionDecision.Wait? = null
        while (true) {
            val engines = context.directory.usable(service.name)
            val decision = queue.decide(waiter, engines, engine, context.clock.nowMillis())
            if (decision is AdmissionDecision.Wait) {
                lastWait = decision
                if (shutdownMillis() != null) return refuseForShutdown(exchange, waiter, decision)
                delay(MINIMUM_CHECK_MILLIS + (context.random.nextDouble() * CHECK_JITTER_MILLIS).toLong())
                continue
            }
            if (lastWait != null || decision is AdmissionDecision.Refuse) record(exchange, waiter, decision, lastWait)
            if (decision is AdmissionDecision.Refuse) return refuse(exchange, decision)
            exchange.isDeferrable = (decision as? AdmissionDecision.Admit)?.isDeferrable ?: false
            return true
        }
    }

    private fun request(exchange: Exchange): AdmissionRequest {
        val route = checkNotNull(exchange.route)
        val workspace = exchange.workspace?.name
        workspace?.let { usage.record(it, exchange.demand.tokens) }
        return AdmissionRequest(
            exchange.rank,
            exchange.demand,
            route.objectiveMillis,
            exchange.request.receivedAtMillis,
            exchange.deadlineMillis,
            isInExcess = workspace != null && usage.isInExcess(workspace),
        )
    }

    private suspend fun refuse(
        exchange: Exchange,
        decision: AdmissionDecision.Refuse,
    ): Boolean {
        exchange.refuse(
            NotRunProof.NOTHING_SENT,
            ResultCode.QUEUE_TIMEOUT,
            "the first event is expected in ${decision.inputs.firstEventMillis} ms, too late for the deadline",
            decision.retryAfterMillis,
        )
        return false
    }

    private suspend fun refuseForShutdown(
        exchange: Exchange,
        waiter: WaitingRequest,
        decision: AdmissionDecision.Wait,
    ): Boolean {
        record(exchange, waiter, decision, decision)
        exchange.refuseForShutdown()
        return false
    }

    private fun record(
        exchange: Exchange,
        waiter: WaitingRequest,
        decision: AdmissionDecision,
        lastWait: AdmissionDecision.Wait?,
    ) {
        val rank = "rank_${AdmissionQueue.rankLabel(waiter.request.rank)}"
        val inputs = decision.inputs
        val outcome =
            when (decision) {
                is AdmissionDecision.Admit -> "sent"
                is AdmissionDecision.Refuse -> "refused"
                is AdmissionDecision.Wait -> "shutdown"
            }
        if (lastWait != null) {
            context.metrics.count("generations.waited", rank)
            context.metrics.count("generations.waited.milliseconds", rank, inputs.waitedMillis.toDouble())
        }
        if (decision is AdmissionDecision.Refuse) context.metrics.count("generations.refused.early", rank)
        exchange.logFields["waitedMilliseconds"] = inputs.waitedMillis
        context.log.request(
            "generation waited",
            mapOf(
                "request" to exchange.requestId,
                "outcome" to outcome,
                "reason" to decision.reason.name.lowercase(),
                "waitReason" to lastWait?.reason?.name?.lowercase(),
                "rank" to waiter.request.rank,
                "promptTokens" to waiter.request.demand.promptTokens,
                "outputTokens" to waiter.request.demand.outputTokens,
                "excess" to waiter.request.isInExcess,
                "waitedMilliseconds" to inputs.waitedMillis,
                "longestWaitMilliseconds" to waiter.request.longestWaitMillis,
                "expectedFirstEventMilliseconds" to inputs.firstEventMillis,
                "canMeetObjective" to inputs.canMeetObjective,
                "openEngines" to inputs.openEngines,
                "loadAgeMilliseconds" to context.loadAgeMillis,
            ),
        )
    }

    private companion object {
        /** Together at most two thirds of the interval between changes of the reported loads. */
        const val MINIMUM_CHECK_MILLIS = 15L
        const val CHECK_JITTER_MILLIS = 45.0
    }
}
