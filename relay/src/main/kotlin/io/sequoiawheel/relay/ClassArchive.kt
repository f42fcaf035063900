/*
 * The training run from which the build creates the class data sharing (CDS) archive: an entry instance that reads a
 * small configuration from a store on the loopback interface, serves one call and one stream, and exits. A process that
 * starts with the archive is ready in less than half the time.
 */
package io.sequoiawheel.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.platform.ExampleDocuments
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.platform.StoreProtocol
import io.sequoiawheel.relay.http.StatusResponse
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

/** The run takes about a second; if it fails, the build continues without an archive of these classes. */
private const val TIMEOUT_MILLIS = 10_000L
private const val POLL_MILLIS = 20L
private const val READ_TIMEOUT_MILLIS = 2_000

/** Exits with 0 if the instance became ready and served its requests. */
fun main() {
    LogConfiguration.isEnabled = true
    val eventLoop = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next()
    val scope = CoroutineScope(eventLoop.asCoroutineDispatcher())
    val storePort = ServerSocket(0).use { it.localPort }
    val isServed =
        runBlocking {
            StatusServer(eventLoop, scope) { storeResponse(it, storePort) }.start(Endpoint(HOST, storePort))
            val daemon = RelayDaemon(SettingsCodec.decode(ExampleDocuments.settings(HOST, storePort)))
            daemon.start()
            withTimeoutOrNull(TIMEOUT_MILLIS) {
                while (!daemon.isReady) delay(POLL_MILLIS)
                ExampleDocuments.requests.forEach { sendRequest(daemon.callerPort, it) }
                true
            } ?: false
        }
    LogConfiguration.flush()
    exitProcess(if (isServed) 0 else 1)
}

private fun sendRequest(
    port: Int,
    text: String,
) = Socket(HOST, port).use { socket ->
    socket.soTimeout = READ_TIMEOUT_MILLIS
    socket.getOutputStream().write(text.toByteArray())
    socket.getInputStream().readBytes()
}

private suspend fun storeResponse(
    target: String,
    ownPort: Int,
): StatusResponse {
    if (StoreProtocol.parseWatch(target) != null) delay(TIMEOUT_MILLIS)
    return StatusResponse(HttpResponseStatus.OK, ExampleDocuments.listing(target, Endpoint(HOST, ownPort)))
}
