/*
 * The configuration for relaying requests to backend servers. It is one immutable value that a newer version replaces
 * as a whole, so that all decisions about a request use the same version.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap

/**
 * An accepted configuration.
 *
 * @property version version number assigned by the operator; it only increases
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

/** Whether a request may be retried, and whether its response is an event stream. */
enum class RequestKind { IDEMPOTENT, NON_IDEMPOTENT, STREAM }

/**
 * A route from a host and path prefix to its target services.
 *
 * @property timeoutMillis maximum time until the complete response
 * @property objectiveMillis latency objective of a response
 * @property priority priority; 0 is the most urgent
 * @property maximumAttempts maximum number of replicas on which one request may be executed
 * @property isResumable whether a stream may be resumed after its last delivered event
 * @property eventGapMillis the longest interval between events that still meets the objective; 0 if there is no such
 *   objective
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
    /** Whether a request may be retried after it may have been executed. */
    val isRepeatable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)
}

/** A target service of a route with its share of the requests. */
data class WeightedService(
    val service: ServiceName,
    val weight: Double,
)

/**
 * A service and the limits of its replicas.
 *
 * @property maximumConnections maximum connections that one replica accepts from all callers combined
 * @property coldSeconds how long a replica stays cold after it starts
 * @property coldRequestsPerSecond requests per second that a cold replica can handle
 * @property engine capabilities of the model engine, or null for a plain service
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
 * The capacity and capabilities of a model engine.
 *
 * @property slots generations that run on one replica at the same time
 * @property memoryTokens tokens that fit into the memory of one replica
 * @property tokensPerEvent tokens in one event of a stream
 * @property supportsMigration whether a running generation's memory can be copied to another replica on request
 * @property supportsBackup whether a replica copies a running generation's memory continuously when asked to
 */
data class EngineProfile(
    val slots: Int,
    val memoryTokens: Int,
    val bytesPerToken: Long,
    val tokensPerEvent: Int,
    val supportsMigration: Boolean,
    val supportsBackup: Boolean,
) {
    companion object {
        /** Profile of a streaming service without a model engine, which needs no KV cache to be reserved. */
        val NONE =
            EngineProfile(
                slots = Int.MAX_VALUE,
                memoryTokens = Int.MAX_VALUE,
                bytesPerToken = 0,
                tokensPerEvent = 1,
                supportsMigration = false,
                supportsBackup = false,
            )
    }
}

/** Limits on the size and duration of caller requests, and on idle connections. */
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
