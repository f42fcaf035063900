/*
 * What the operator, the replicas and the platform write: configuration, entries of replicas and settings files, for
 * stand-ins that run a whole deployment.
 */
package io.sequoiawheel.standin.platform

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonUnquotedLiteral

object PlatformEntries {
    const val CONFIGURATION_KIND = "config"
    const val CONFIGURATION_NAME = "main"
    const val REPLICA_KIND = "servers"

    /** Environment variable that names the settings file of an entry instance. */
    const val SETTINGS_VARIABLE = "SEQUOIAWHEEL_NODE_FILE"

    /** The zone of what is told no other. */
    const val ZONE = "a"

    /** Service of the plain calls, and service of the event streams. */
    const val CALL_SERVICE = "desk"
    const val STREAM_SERVICE = "writers"

    /** Time in which a plain call is answered, and in which a stream is. */
    const val CALL_TIMEOUT_MILLIS = 1_200L
    const val STREAM_TIMEOUT_MILLIS = 8_000L

    /**
     * A configuration with public routes `/safe/`, `/unsafe/`, `/stream/` and `/resumable/`.
     *
     * @param movesRuns whether the replicas of the streams copy runs to each other and keep backups of them
     */
    fun configuration(
        version: Int,
        movesRuns: Boolean = false,
    ): JsonElement =
        Json.parseToJsonElement(
            """{"version":$version,"routes":[
            ${route("safe", "safe", CALL_SERVICE, CALL_TIMEOUT_MILLIS, 3)},
            ${route("unsafe", "unsafe", CALL_SERVICE, CALL_TIMEOUT_MILLIS, 3)},
            ${route("stream", "stream", STREAM_SERVICE, STREAM_TIMEOUT_MILLIS, 3)},
            ${route("resumable", "stream", STREAM_SERVICE, STREAM_TIMEOUT_MILLIS, 3, isResumable = true)}],
            "svcs":[{"name":"$CALL_SERVICE","health_path":"/healthz","max_conns":400,"warmup_s":0,"warmup_per_s":0},
            {"name":"$STREAM_SERVICE","health_path":"/healthz","max_conns":400,"warmup_s":0,"warmup_per_s":0,
            "runtime":{"slots":200,"kv_capacity":1000000,"kv_token_bytes":16384,"stride":4,"moves":$movesRuns,
            "backups":$movesRuns}}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
            "idle_timeout_ms":15000}}""",
        )

    private fun route(
        name: String,
        type: String,
        service: String,
        timeoutMillis: Long,
        attempts: Int,
        isResumable: Boolean = false,
    ) = """{"name":"$name","host":"${CallerStandIn.HOST}","path_prefix":"/$name/","type":"$type",
        "timeout_ms":$timeoutMillis,"slo_ms":400,"prio":1,"svc":"$service","attempts":$attempts,"public":true,
        "resumable":$isResumable,"itl_target_ms":400}"""

    /** The entry of a replica of [service] at [port]. */
    fun replica(
        service: String,
        port: Int,
        state: String = "ready",
        zone: String = ZONE,
    ): JsonElement =
        Json.parseToJsonElement(
            """{"svc":"$service","addr":"127.0.0.1:$port","zone":"$zone","version":"v1","slots":200,"state":"$state",
            "warmup_left_ms":0,"seq":1,"born":1}""",
        )

    /**
     * Entries that another writer left among those of the replicas, by a name for each. They are written as they are,
     * since a parser may refuse them.
     */
    @OptIn(ExperimentalSerializationApi::class)
    fun oddReplicas(): Map<String, JsonElement> {
        val fields = """"svc":"$CALL_SERVICE","zone":"a","version":"v1","state":"ready","seq":1"""
        val sound = """"addr":"127.0.0.1:1","slots":6,"warmup_left_ms":0,"born":1"""
        val nested = "[".repeat(NESTING) + "]".repeat(NESTING)
        return mapOf(
            "nested" to """{$fields,$sound,"extra":$nested}""",
            "port" to """{$fields,"addr":"127.0.0.1:70000","slots":6,"warmup_left_ms":0,"born":1}""",
            "slots" to """{$fields,"addr":"127.0.0.1:1","slots":1e400,"warmup_left_ms":0,"born":1}""",
            "born" to """{$fields,"addr":"127.0.0.1:1","slots":6,"warmup_left_ms":9223372036854775807,
                "born":9223372036854775807}""",
        ).mapValues { (_, text) -> JsonUnquotedLiteral(text) }
    }

    /** The settings file of an entry instance. */
    fun settings(
        name: String,
        callerPort: Int,
        readyPort: Int,
        peerPort: Int,
        storePort: Int,
        zone: String = ZONE,
    ) = """{"node":"$name","ip":"127.0.0.1","zone":"$zone","listen":{"http":"127.0.0.1:$callerPort",
        "ready":"127.0.0.1:$readyPort"},"port_range":[$peerPort,$peerPort],
        "limits":{"cpu_share":1.0,"memory_mb":280},
        "bounds":{"contact_ms":3000,"drain_ms":$DRAIN_MILLIS,"grace_s":${GRACE_MILLIS / 1_000},"revoke_ms":5000,
        "retry_ratio":0.2,"retry_extra":54,"retry_window_s":10,"warmup_excess":1.5,"warmup_margin":5},
        "platform":{"addr":"127.0.0.1:$storePort"}}"""

    /** Time after a departure was acknowledged in which requests may still reach the replica. */
    const val DRAIN_MILLIS = 2_000L

    /** Time between SIGTERM and SIGKILL. */
    const val GRACE_MILLIS = 8_000L
    private const val NESTING = 5_000
}
