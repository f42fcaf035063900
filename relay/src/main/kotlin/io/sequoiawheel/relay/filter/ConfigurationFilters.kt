/*
 * The filters that apply the configuration: whether there is one, which route the request takes, whose key it carries,
 * and until when it may be worked on.
 */
package io.sequoiawheel.relay.filter

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.RequestKind
import io.sequoiawheel.core.relay.ShutdownAdmission
import io.sequoiawheel.platform.Headers

/** Refuses requests while no configuration is known. */
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
                "no configuration is known yet",
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
 * Maps the API key to its workspace. A key is honoured only while the configuration is known to be fresh, since it may
 * have been revoked since.
 *
 * @param awaitFresh waits briefly for a proof that is on its way, and returns whether the configuration is fresh
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

/** Sets until when the request may be worked on, from the caller's wait and the route's timeout. */
internal class DeadlineFilter(
    private val clock: Clock,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val route = checkNotNull(exchange.route)
        val wait =
            exchange.request.headers
                .get(Headers.TIMEOUT_MILLIS)
                ?.trim()
                ?.toDoubleOrNull()
                ?.toLong()
        val allowedMillis = minOf(route.timeoutMillis, wait ?: Long.MAX_VALUE)
        exchange.deadlineMillis = exchange.request.receivedAtMillis + allowedMillis
        exchange.notes["allowedMilliseconds"] = allowedMillis
        if (exchange.deadlineMillis <= clock.nowMillis()) {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.DEADLINE_BEFORE_DISPATCH,
                "the deadline passed before the request was sent on",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        next(exchange)
    }
}

/**
 * While the instance is leaving, refuses requests that may not end before it does.
 *
 * @param remainingMillis time until the process ends, or null if it is not leaving
 */
internal class LeavingFilter(
    private val remainingMillis: () -> Long?,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        next: suspend (Exchange) -> Unit,
    ) {
        val remaining = remainingMillis()
        if (remaining != null && !mayEnd(exchange, remaining)) {
            exchange.response.closeAfter()
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.LEAVING,
                "this instance is shutting down",
                OTHER_INSTANCE_RETRY_MILLIS,
            )
            return
        }
        next(exchange)
    }

    private fun mayEnd(
        exchange: Exchange,
        remaining: Long,
    ): Boolean {
        val route = checkNotNull(exchange.route)
        val demand = if (route.kind == RequestKind.STREAM) exchange.demand else null
        return ShutdownAdmission.mayEnd(route, demand, remaining)
    }
}

/** A caller that comes back reaches another instance, which can serve it at once. */
internal const val OTHER_INSTANCE_RETRY_MILLIS = 50L
