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

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        if (!enter()) return Reply.Refusal(Failure(ResultCode.LEAVING, retryAfterMillis = RETRY_AFTER_MILLIS))
        try {
            return next(exchange)
        } finally {
            exit()
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

    private companion object {
        // Another instance can serve the request at once; the load balancer chooses it.
        const val RETRY_AFTER_MILLIS = 0L
    }
}
