package io.sequoiawheel.daemon

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Routing
import io.ktor.server.routing.routing

/** An HTTP server with [routes] on a free loopback port. */
class FakeServer(
    routes: Routing.() -> Unit,
) {
    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") { routing { routes() } }

    lateinit var address: String
        private set

    suspend fun start() {
        server.startSuspend(wait = false)
        address = "127.0.0.1:${server.engine.resolvedConnectors().first().port}"
    }

    fun stop() = server.stop(0, 100)
}
