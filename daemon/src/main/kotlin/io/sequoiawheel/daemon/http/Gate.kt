package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CompletableDeferred

/**
 * Counts the requests in progress and closes for a graceful shutdown: later requests are refused with `LEAVING`, those
 * inside are not touched. Thread-safe.
 */
internal class Gate : RequestFilter {
    private var inside = 0
    private var leaving = false
    private val empty = CompletableDeferred<Unit>()

    /** Whether the instance refuses new requests. */
    val isLeaving: Boolean @Synchronized get() = leaving

    /** Requests in progress. */
    val requests: Int @Synchronized get() = inside

    /** Counts [exchange] until its reply is sent; [RefuseLeaving] refuses it later if it came too late. */
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        exchange.isAdmitted = enter()
        try {
            return next(exchange)
        } finally {
            if (exchange.isAdmitted) exit()
        }
    }

    /** Refuses requests from now on. */
    @Synchronized
    fun leave() {
        leaving = true
        if (inside == 0) empty.complete(Unit)
    }

    /** Waits until no request is in progress after [leave]. */
    suspend fun awaitEmpty() = empty.await()

    @Synchronized
    internal fun enter(): Boolean {
        if (leaving) return false
        inside++
        return true
    }

    @Synchronized
    internal fun exit() {
        inside--
        if (leaving && inside == 0) empty.complete(Unit)
    }

    /** Refuses what came after [leave], within the filters that send and account replies. */
    internal object RefuseLeaving : RequestFilter {
        // Another instance can serve the request at once; the load balancer chooses it.
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
