/*
 * The filters of the request path, in their order: limits, workspace, deadline, service, and the limit of concurrent
 * requests. Queueing, claims, the choice of a replica, dispatch and relay follow in the handlers. The gate of a leaving
 * instance and accounting enclose all of them.
 */
package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Refuses requests with more header bytes than [maximumBytes]. */
internal class HeaderLimitFilter(
    private val maximumBytes: Int,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val bytes =
            exchange.call.request.headers
                .entries()
                .sumOf { (name, values) -> values.sumOf { name.length + it.length } }
        if (bytes <= maximumBytes) return next(exchange)
        val detail = "the headers may have at most $maximumBytes bytes"
        return Reply.Refusal(Failure(ResultCode.BODY_TOO_LARGE, detail))
    }
}

/** Identifies the workspace. */
internal object WorkspaceFilter : RequestFilter {
    private const val HEADER = "X-Workspace"
    private val pattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val name = exchange.call.request.headers[HEADER]
        if (name == null || !pattern.matches(name)) return Reply.Refusal(Failure(ResultCode.WORKSPACE_REQUIRED))
        exchange.workspace = WorkspaceName(name)
        return next(exchange)
    }
}

/** Looks up the accepted document of the service in the path. */
internal class ServiceFilter(
    private val documents: Documents,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        if (!documents.isKnown) return Reply.Refusal(noConfiguration())
        val name = exchange.call.parameters["service"].orEmpty()
        val document =
            documents.find(ServiceName(name)) ?: return Reply.Refusal(Failure(ResultCode.UNKNOWN_SERVICE))
        val policy =
            document.workspaces.of(exchange.workspace)
                ?: return Reply.Refusal(Failure(ResultCode.WORKSPACE_REQUIRED))
        exchange.document = document
        exchange.policy = policy
        return next(exchange)
    }

    private fun noConfiguration() = Failure(ResultCode.NO_CONFIGURATION, retryAfterMillis = CONFIGURATION_RETRY_MILLIS)

    private companion object {
        const val CONFIGURATION_RETRY_MILLIS = 2_000L
    }
}

/** Reads the caller's deadline. */
internal class DeadlineFilter(
    private val clock: Clock,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val text = exchange.call.request.headers[HEADER] ?: return next(exchange)
        val millis = text.toLongOrNull()?.coerceAtMost(MAXIMUM_MILLIS)
        if (millis == null || millis < 0) {
            return Reply.Refusal(RequestReader.invalid("$HEADER must be a whole number of milliseconds"))
        }
        if (millis == 0L) return Reply.Refusal(Failure(ResultCode.DEADLINE_BEFORE_DISPATCH))
        exchange.callerDeadlineMillis = clock.nowMillis() + millis
        return next(exchange)
    }

    private companion object {
        const val HEADER = "X-Deadline-Millis"
        const val MAXIMUM_MILLIS = 31_536_000_000L
    }
}

/** Bounds the requests in progress of each workspace at each service, and of the whole instance. */
internal class ConcurrencyFilter(
    private val maximumRequests: Int,
) : RequestFilter {
    private val counts = ConcurrentHashMap<Pair<ServiceName, WorkspaceName>, Int>()
    private val total = AtomicInteger()

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val key = exchange.document.service to exchange.workspace
        if (!enter(key, exchange.policy.maximumConcurrent)) return refuse(ResultCode.WORKSPACE_LIMIT)
        try {
            if (total.incrementAndGet() > maximumRequests) return refuse(ResultCode.QUEUE_FULL)
            return next(exchange)
        } finally {
            total.decrementAndGet()
            counts.computeIfPresent(key) { _, count -> if (count == 1) null else count - 1 }
        }
    }

    private fun enter(
        key: Pair<ServiceName, WorkspaceName>,
        limit: Int,
    ): Boolean {
        var entered = false
        counts.compute(key) { _, old ->
            val count = old ?: 0
            entered = count < limit
            if (entered) count + 1 else old
        }
        return entered
    }

    private fun refuse(code: ResultCode) = Reply.Refusal(Failure(code, retryAfterMillis = RETRY_AFTER_MILLIS))

    private companion object {
        // Requests at a limit end one by one; a caller that returns within a second meets a free place early.
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
