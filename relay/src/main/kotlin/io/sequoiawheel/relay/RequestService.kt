package io.sequoiawheel.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.filter.FilterChain
import io.sequoiawheel.relay.http.CallerRequest
import io.sequoiawheel.relay.http.CallerResponse
import io.sequoiawheel.relay.http.CallerService
import io.sequoiawheel.relay.http.ConnectionLimits
import io.sequoiawheel.relay.http.RefusalReason
import io.sequoiawheel.relay.http.UnansweredReason
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RefusalLog
import io.sequoiawheel.relay.internal.RelayMetrics

/**
 * Passes the requests of callers to the filters, and counts those in progress.
 *
 * @param configuration returns the configuration in force, or null before the first one
 */
internal class RequestService(
    override val clock: Clock,
    private val filters: FilterChain,
    private val shutdown: InstanceShutdown,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
    private val configuration: () -> RelayConfiguration?,
) : CallerService {
    private val refusals = RefusalLog(clock, log)

    /** Number of requests that are being handled. */
    var inProgress = 0
        private set

    override val isLeaving: Boolean get() = shutdown.isLeaving

    override val limits: ConnectionLimits
        get() {
            val limits = configuration()?.limits
            return ConnectionLimits(
                limits?.bodyBytes ?: DEFAULT_BODY_BYTES,
                limits?.headerTimeoutMillis ?: DEFAULT_TIMEOUT_MILLIS,
                limits?.idleTimeoutMillis ?: DEFAULT_TIMEOUT_MILLIS,
            )
        }

    override suspend fun serve(
        request: CallerRequest,
        response: CallerResponse,
    ) {
        inProgress++
        shutdown.onRequestRead()
        try {
            filters.handle(Exchange(request, response))
        } finally {
            inProgress--
        }
    }

    override fun onRejected(
        code: ResultCode,
        detail: String,
    ) = log.request("request unreadable", mapOf("code" to code.number, "result" to code.name, "detail" to detail))

    override fun onRefused(reason: RefusalReason) {
        metrics.count("callers.refused", reason.label)
        refusals.record(reason)
    }

    override fun onUnanswered(
        reason: UnansweredReason,
        cause: Throwable?,
    ) {
        metrics.count("requests.unanswered", reason.label)
        if (reason == UnansweredReason.CALLER_CLOSED) return
        log.request("request unanswered", mapOf("reason" to reason.label, "detail" to cause?.toString()))
    }

    /** Records the requests that the end of the process leaves without a response, and returns their number. */
    fun recordUnfinished(): Int {
        if (inProgress > 0) metrics.count("requests.unanswered", UnansweredReason.SHUTDOWN.label, inProgress.toDouble())
        return inProgress
    }

    private companion object {
        const val DEFAULT_BODY_BYTES = 1_048_576
        const val DEFAULT_TIMEOUT_MILLIS = 10_000L
    }
}
