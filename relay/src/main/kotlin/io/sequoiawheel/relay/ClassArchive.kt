/*
 * The run by which the build makes the archive of loaded classes: an entry instance that reads a small configuration
 * from a store on loopback, serves one call and one stream, and ends. A process that starts with the archive is ready
 * in less than half the time.
 */
package io.sequoiawheel.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.relay.http.StatusAnswer
import io.sequoiawheel.relay.http.StatusServer
import io.sequoiawheel.relay.internal.LogConfiguration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ServerSocket
import java.net.Socket
import kotlin.system.exitProcess

private const val HOST = "127.0.0.1"

/** The whole run takes about a second; without a result the build goes on without an archive of these classes. */
private const val LIMIT_MILLIS = 10_000L
private const val POLL_MILLIS = 20L
private const val READ_TIMEOUT_MILLIS = 2_000

/** Ends with 0 if the instance became ready. */
fun main() {
    LogConfiguration.isWanted = true
    val eventLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next()
    val scope = CoroutineScope(eventLoop.asCoroutineDispatcher())
    val storePort = ServerSocket(0).use { it.localPort }
    val isServed =
        runBlocking {
            StatusServer(eventLoop, scope) { storeAnswer(it, storePort) }.start(Endpoint(HOST, storePort))
            val daemon = RelayDaemon(settings(storePort))
            daemon.start()
            withTimeoutOrNull(LIMIT_MILLIS) {
                while (!daemon.isReady) delay(POLL_MILLIS)
                listOf("/call", "/stream").forEach { request(daemon.callerPort, it) }
                true
            } ?: false
        }
    exitProcess(if (isServed) 0 else 1)
}

private fun request(
    port: Int,
    path: String,
) = Socket(HOST, port).use { socket ->
    socket.soTimeout = READ_TIMEOUT_MILLIS
    val text = "POST $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
    socket.getOutputStream().write(text.toByteArray())
    socket.getInputStream().readBytes()
}

private suspend fun storeAnswer(
    target: String,
    ownPort: Int,
): StatusAnswer {
    if ("watch=" in target) delay(LIMIT_MILLIS)
    val entries =
        when {
            "/config" in target -> entry("main", CONFIGURATION)
            "/servers" in target -> listOf("d", "e").joinToString(",") { entry(it, replica(it, ownPort)) }
            else -> ""
        }
    return StatusAnswer(HttpResponseStatus.OK, """{"entries":[$entries],"has_more":false,"at":1}""")
}

private fun entry(
    name: String,
    spec: String,
) = """{"meta":{"name":"$name","revision":1},"spec":$spec}"""

private fun replica(
    service: String,
    port: Int,
) = """{"svc":"$service","addr":"$HOST:$port","zone":"z","version":"1","slots":1,"state":"ready","warmup_left_ms":0,
    "seq":1,"born":1}"""

private fun settings(storePort: Int) =
    SettingsCodec.decode(
        """{"node":"archive","ip":"$HOST","zone":"z","listen":{"http":"$HOST:0","ready":"$HOST:0"},"port_range":[0,0],
        "bounds":{"contact_ms":1000,"drain_ms":1000,"grace_s":1,
        "revoke_ms":10000,"retry_ratio":0.1,"retry_extra":1,"retry_window_s":1,"warmup_excess":1,"warmup_margin":1},
        "platform":{"addr":"$HOST:$storePort"}}""",
    )

private const val CONFIGURATION =
    """{"version":1,"routes":[{"name":"c","host":"h","path_prefix":"/call","type":"safe","timeout_ms":500,"slo_ms":9,
    "prio":1,"svc":"d","attempts":2,"public":true,"resumable":false,"itl_target_ms":9},{"name":"s","host":"h",
    "path_prefix":"/stream","type":"stream","timeout_ms":500,"slo_ms":9,"prio":1,"svc":"e","attempts":1,"public":true,
    "resumable":false,"itl_target_ms":9}],"svcs":[{"name":"d","health_path":"/","max_conns":9,"warmup_s":0,
    "warmup_per_s":0},{"name":"e","health_path":"/","max_conns":9,"warmup_s":0,"warmup_per_s":0,"runtime":{"slots":2,
    "kv_capacity":9999,"kv_token_bytes":9,"stride":1,"moves":true,"backups":true}}],"limits":{"max_header_bytes":9999,
    "max_body_bytes":9999,"header_timeout_ms":999,"idle_timeout_ms":999},"tenants":[{"name":"w","api_keys":["k"]}]}"""
