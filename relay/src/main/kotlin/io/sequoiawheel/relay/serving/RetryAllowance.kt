package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.UnsentAttempts
import io.sequoiawheel.relay.filter.Exchange

/** Decides whether a generation may be sent once more. */
internal class RetryAllowance(
    private val context: RelayContext,
    private val exchange: Exchange,
    private val service: RelayService,
) {
    private var refusals = 0
    private val unsentAttempts = UnsentAttempts(context.clock)

    /** Whether a retry was taken from the budget for which no replica was found. */
    private var hasUnusedRetry = false

    /** Whether a replica has refused the generation. */
    val hasRefusals: Boolean get() = refusals > 0

    /** Whether the generation may be run again after [runs] attempts that may have been executed. */
    fun mayRunAgain(runs: Int): Boolean =
        runs < checkNotNull(exchange.route).maximumAttempts &&
            !context.outcomes.isSuspected(exchange) &&
            context.retryBudget(service.name).tryRetry()

    /** Whether the generation may be sent to another replica after the one of [signal] did not run it. */
    fun maySendElsewhere(signal: GenerationSignal.NotRun): Boolean =
        when {
            signal.isUnavailable -> true
            signal.proof == NotRunProof.NOTHING_SENT -> unsentAttempts.mayRetry()
            else -> refusals++ < MAXIMUM_REFUSED_RETRIES && context.retryBudget(service.name).tryRetry()
        }

    /** Whether the generation may be offered to the replicas again, after none of them accepted it. */
    fun mayOfferAgain(): Boolean {
        if (!hasUnusedRetry) hasUnusedRetry = context.retryBudget(service.name).tryRetry()
        return hasUnusedRetry
    }

    /** Records that an attempt was started. */
    fun recordAttempt() {
        hasUnusedRetry = false
    }

    private companion object {
        /** Refusals after which the request is retried; the next refusal is reported to the caller. */
        const val MAXIMUM_REFUSED_RETRIES = 2
    }
}
