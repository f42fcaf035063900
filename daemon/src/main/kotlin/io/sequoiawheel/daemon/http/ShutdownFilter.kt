package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CompletableDeferred

/**
 * Counts the requests in progress for a graceful shutdown. Once the shutdown has begun, new requests are rejected with
 * `LEAVING`; earlier ones run to completion. Thread-safe.
 */
internal class ShutdownFilter : RequestFilter {
    private var inProgress = 0
    private var leaving = false
    private val drained = CompletableDeferred<Unit>()

    /** Whether the instance rejects new requests. */
    val isLeaving: Boolean @Synchronized get() = leaving

    /** The number of requests in progress. */
    val requestsInProgress: Int @Synchronized get() = inProgress

    /** Counts [exchange] until its reply is sent. After shutdown has begun, it is left to [RejectWhenLeaving]. */
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        exchange.isAdmitted = tryBegin()
        try {
            return next(exchange)
        } finally {
            if (exchange.isAdmitted) end()
        }
    }

    /** Rejects new requests from now on. */
    @Synchronized
    fun beginShutdown() {
        leaving = true
        if (inProgress == 0) drained.complete(Unit)
    }

    /** Waits until no request is in progress after [beginShutdown]. */
    suspend fun awaitDrained() = drained.await()

    @Synchronized
    internal fun tryBegin(): Boolean {
        if (leaving) return false
        inProgress++
        return true
    }

    @Synchronized
    internal fun end() {
        inProgress--
        if (leaving && inProgress == 0) drained.complete(Unit)
    }

    /** Rejects requests that arrive after [beginShutdown]; placed within the filters that send and log replies. */
    internal object RejectWhenLeaving : RequestFilter {
        // The load balancer can send a retry to another instance immediately.
        private const val RETRY_AFTER_MILLIS = 0L

        override suspend fun handle(
            exchange: Exchange,
            next: suspend (Exchange) -> Reply,
        ): Reply {
            if (exchange.isAdmitted) return next(exchange)
            return Reply.Refusal(Failure(ResultCode.LEAVING, retryAfterMillis = RETRY_AFTER_MILLIS))
        }
    }
}
