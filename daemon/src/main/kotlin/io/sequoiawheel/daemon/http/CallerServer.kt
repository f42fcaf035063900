package io.sequoiawheel.daemon.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.daemon.settings.DaemonSettings
import java.util.UUID

/**
 * The HTTP server for callers.
 *
 * @param unreadyReason returns why the instance is not ready to serve, or null if it is ready
 */
internal class CallerServer(
    private val settings: DaemonSettings,
    private val clock: Clock,
    private val chains: HandlerChains,
    private val registry: PrometheusMeterRegistry,
    private val unreadyReason: () -> String?,
) {
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = settings.listen.port, host = settings.listen.host) {
            // Cancels a request whose caller disconnects, which also frees its place in the queue.
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing { routes() }
        }

    /** Starts the server and returns the port that it listens on. */
    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    /** Stops the server without waiting for requests; a graceful shutdown waits for them beforehand. */
    suspend fun stop() {
        server.stopSuspend(0, STOP_TIMEOUT_MILLIS)
    }

    /** Like [stop], for code that cannot suspend. */
    fun stopNow() {
        server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    private fun Routing.routes() {
        post("/v1/services/{service}/generations") { serve(Exchange.Kind.GENERATION, chains.generation) }
        get("/v1/generations/{handle}") { serve(Exchange.Kind.RESUME, chains.resume) }
        post("/v1/services/{service}/calls/{call}") { serve(Exchange.Kind.CALL, chains.call) }
        get("/v1/services/{service}/calls/{call}/outcomes/{key}") { serve(Exchange.Kind.OUTCOME, chains.outcome) }
        get("/health") { call.respondText("ok\n") }
        get("/ready") { respondReady(call) }
        get("/metrics") { call.respondText(registry.scrape(), ContentType.Text.Plain) }
    }

    private suspend fun RoutingContext.serve(
        kind: Exchange.Kind,
        chain: suspend (Exchange) -> Reply,
    ) {
        chain(Exchange(call, kind, requestIdOf(call), clock.nowMillis()))
    }

    private fun requestIdOf(call: ApplicationCall): RequestId {
        val callerRequestId = call.request.headers["X-Request-Id"]?.takeIf { requestIdPattern.matches(it) }
        return RequestId(callerRequestId ?: UUID.randomUUID().toString())
    }

    private suspend fun respondReady(call: ApplicationCall) {
        val reason = unreadyReason()
        if (reason == null) {
            call.respondText("ready\n")
        } else {
            call.respondText("$reason\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    /** The handler of each endpoint, wrapped in its filters. */
    internal class HandlerChains(
        val generation: suspend (Exchange) -> Reply,
        val resume: suspend (Exchange) -> Reply,
        val call: suspend (Exchange) -> Reply,
        val outcome: suspend (Exchange) -> Reply,
    )

    private companion object {
        const val STOP_TIMEOUT_MILLIS = 500L
        val requestIdPattern = Regex("[A-Za-z0-9._-]{1,128}")
    }
}
