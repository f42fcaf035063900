/*
 * The filters of the request path, in the order in which they run: header limit, workspace, deadline, service and the
 * limit on concurrent requests. The handlers then queue and claim the request, choose a replica, dispatch and relay.
 * The filters for shutdown, responses and request logging wrap all of these.
 */
package io.sequoiawheel.daemon.http

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Rejects requests whose header names and values exceed [maximumBytes]. */
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
        val detail = "the headers exceed the limit of $maximumBytes bytes"
        return Reply.Refusal(Failure(ResultCode.BODY_TOO_LARGE, detail))
    }
}

/** Reads the workspace from the `X-Workspace` header. */
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

/** Looks up the document of the service in the path and the policy of the workspace. */
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

/** Reads the caller's deadline from the `X-Deadline-Millis` header. */
internal class DeadlineFilter(
    private val clock: Clock,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val header = exchange.call.request.headers[HEADER] ?: return next(exchange)
        val millis = header.toLongOrNull()?.coerceAtMost(MAXIMUM_MILLIS)
        if (millis == null || millis < 0) {
            return Reply.Refusal(RequestReader.invalidRequest("$HEADER must be a whole number of milliseconds"))
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

/** Limits the requests in progress per workspace and service, and on the instance as a whole. */
internal class ConcurrencyFilter(
    private val maximumRequests: Int,
) : RequestFilter {
    private val requestsInProgress = ConcurrentHashMap<Pair<ServiceName, WorkspaceName>, Int>()
    private val totalInProgress = AtomicInteger()

    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Reply,
    ): Reply {
        val key = exchange.document.service to exchange.workspace
        if (!tryAcquire(key, exchange.policy.maximumConcurrent)) return reject(ResultCode.WORKSPACE_LIMIT)
        try {
            if (totalInProgress.incrementAndGet() > maximumRequests) return reject(ResultCode.QUEUE_FULL)
            return next(exchange)
        } finally {
            totalInProgress.decrementAndGet()
            requestsInProgress.computeIfPresent(key) { _, count -> if (count == 1) null else count - 1 }
        }
    }

    private fun tryAcquire(
        key: Pair<ServiceName, WorkspaceName>,
        limit: Int,
    ): Boolean {
        var acquired = false
        requestsInProgress.compute(key) { _, old ->
            val count = old ?: 0
            acquired = count < limit
            if (acquired) count + 1 else old
        }
        return acquired
    }

    private fun reject(code: ResultCode) = Reply.Refusal(Failure(code, retryAfterMillis = RETRY_AFTER_MILLIS))

    private companion object {
        // Requests at a limit end one by one; a caller that retries within a second finds freed capacity early.
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
