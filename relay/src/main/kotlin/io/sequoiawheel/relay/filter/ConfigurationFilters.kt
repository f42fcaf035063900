/*
 * The filters that apply the configuration: they check that one is loaded, find the route, map the API key to a
 * workspace, set the deadline, and limit which requests are accepted during shutdown.
 */
package io.sequoiawheel.relay.filter

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.RequestKind
import io.sequoiawheel.core.relay.ShutdownAdmission
import io.sequoiawheel.platform.Headers

/** Refuses requests while no configuration is loaded, or only one that is known to be outdated. */
internal class ConfigurationFilter(
    private val current: () -> RelayConfiguration?,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val configuration = current()
        if (configuration == null) {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.NO_CONFIGURATION,
                "no configuration that may be current has been loaded yet",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        exchange.configuration = configuration
        next(exchange)
    }
}

/** Finds the route by host and path. */
internal class RouteFilter : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val host =
            exchange.request.headers
                .get("Host")
                .orEmpty()
                .substringBefore(':')
        val route = exchange.configuration?.route(host, exchange.request.path)
        if (route == null) {
            exchange.reject(ResultCode.UNKNOWN_ROUTE, "no route for $host${exchange.request.path}")
            return
        }
        exchange.route = route
        next(exchange)
    }
}

/**
 * Maps the API key to its workspace. A key is accepted only while the configuration is known to be up to date, since it
 * may have been revoked in a newer one.
 *
 * @param awaitFresh waits briefly for a pending confirmation and returns whether the configuration is up to date
 */
internal class WorkspaceFilter(
    private val awaitFresh: suspend () -> Boolean,
    private val current: () -> RelayConfiguration?,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val route = checkNotNull(exchange.route)
        if (exchange.configuration?.requiresKeys != true || route.isPublic) return next(exchange)
        if (!awaitFresh()) {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.STALE_CONFIGURATION,
                "the API key cannot be checked against the newest configuration",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        exchange.configuration = current()
        val keys = exchange.request.headers.getAll(Headers.API_KEY)
        val workspace = keys.singleOrNull()?.let { exchange.configuration?.workspace(it.trim()) }
        if (workspace == null) {
            exchange.reject(ResultCode.UNKNOWN_KEY, "the API key is missing or unknown")
            return
        }
        exchange.workspace = workspace
        next(exchange)
    }
}

/** Sets the deadline of the request from the caller's remaining time and the route's timeout, whichever is shorter. */
internal class DeadlineFilter(
    private val clock: Clock,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val route = checkNotNull(exchange.route)
        val callerMillis =
            exchange.request.headers
                .get(Headers.TIMEOUT_MILLIS)
                ?.trim()
                ?.toDoubleOrNull()
                ?.toLong()
        val allowedMillis = minOf(route.timeoutMillis, callerMillis ?: Long.MAX_VALUE)
        exchange.deadlineMillis = exchange.request.receivedAtMillis + allowedMillis
        exchange.logFields["allowedMilliseconds"] = allowedMillis
        if (exchange.deadlineMillis <= clock.nowMillis()) {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.DEADLINE_BEFORE_DISPATCH,
                "the deadline passed before the request was forwarded",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        next(exchange)
    }
}

/**
 * Refuses requests during shutdown that may not finish before the process exits, and ends the others early enough that
 * their callers get an answer.
 *
 * @param remainingMillis returns the time until the process exits, or null if it is not shutting down
 */
internal class ShutdownFilter(
    private val clock: Clock,
    private val remainingMillis: () -> Long?,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val remaining = remainingMillis()
        if (remaining != null && !mayFinish(exchange, remaining)) {
            exchange.refuseForShutdown()
            return
        }
        if (remaining != null) {
            val lastMillis = clock.nowMillis() + remaining - ANSWER_MILLIS
            exchange.deadlineMillis = minOf(exchange.deadlineMillis, lastMillis)
        }
        next(exchange)
    }

    private fun mayFinish(
        exchange: Exchange,
        remaining: Long,
    ): Boolean {
        val route = checkNotNull(exchange.route)
        val demand = if (route.kind == RequestKind.STREAM) exchange.demand else null
        return ShutdownAdmission.canFinish(route, demand, remaining)
    }

    private companion object {
        /** Time to write the answer of a request that did not end in time. */
        const val ANSWER_MILLIS = 200L
    }
}

/** Short delay, since a retry reaches another instance that can usually serve it at once. */
internal const val OTHER_INSTANCE_RETRY_MILLIS = 50L
