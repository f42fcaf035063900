/*
 * The configuration under which requests are relayed to backend servers. It is one immutable value; a newer version
 * replaces it as a whole, so that a request is handled by one version from its first to its last decision.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/**
 * One accepted configuration.
 *
 * @property version the operator's number; it only grows
 * @property requiresKeys whether requests on routes that are not public need an API key
 */
data class RelayConfiguration(
    val version: Long,
    val routes: ImmutableList<Route>,
    val services: ImmutableMap<ServiceName, RelayService>,
    val limits: CallerLimits,
    val workspaces: ImmutableList<Workspace>,
    val requiresKeys: Boolean,
) {
    private val routeTable = RouteTable(routes)
    private val workspaceByKey: Map<String, Workspace> =
        workspaces.flatMap { workspace -> workspace.keys.map { it to workspace } }.toMap()

    /** Returns the route of [host] with the longest prefix of [path], or null. */
    fun route(
        host: String,
        path: String,
    ): Route? = routeTable.find(host, path)

    /** Returns the workspace that holds [key], or null. */
    fun workspace(key: String): Workspace? = workspaceByKey[key]
}

/** What may be repeated, and whether the response is a series of events. */
enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/**
 * One route.
 *
 * @property timeoutMillis longest time that a request may be kept waiting for its whole response
 * @property objectiveMillis time within which a response earns its full credit
 * @property priority rank, 0 is the most urgent
 * @property maximumAttempts how many replicas one request may run on
 * @property isResumable whether a stream may be started again after its last delivered event
 * @property eventGapMillis the longest pause between events that is still on time; 0 where there is none
 */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeoutMillis: Long,
    val objectiveMillis: Long,
    val priority: Int,
    val targets: ImmutableList<WeightedService>,
    val maximumAttempts: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
    val eventGapMillis: Long,
) {
    /** Whether a request may run again after it may have run. */
    val isRepeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)
}

/** One of the services that a route leads to, with its share of the requests. */
data class WeightedService(
    val service: ServiceName,
    val weight: Double,
)

/**
 * One service.
 *
 * @property maximumConnections connections that one replica accepts from all callers together
 * @property coldSeconds how long a replica stays cold after it starts
 * @property coldRequestsPerSecond requests a second that a cold replica bears
 * @property engine what a model engine offers, or null for a plain service
 */
data class RelayService(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldSeconds: Double,
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?,
)

/**
 * A model engine.
 *
 * @property memoryTokens tokens that fit into the memory of one replica
 * @property tokensPerEvent tokens in one event of a stream
 * @property movesRuns whether a running generation's memory can be copied to another replica on request
 * @property backsUpRuns whether a replica copies a running generation's memory continuously when asked to
 */
data class EngineProfile(
    val slots: Int,
    val memoryTokens: Int,
    val bytesPerToken: Long,
    val tokensPerEvent: Int,
    val movesRuns: Boolean,
    val backsUpRuns: Boolean,
)

/** What a caller may send, and how long it may take or stay idle. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/** A workspace with its API keys. [priority] takes precedence over that of a route. */
data class Workspace(
    val name: WorkspaceName,
    val keys: ImmutableList<String>,
    val priority: Int?,
)
