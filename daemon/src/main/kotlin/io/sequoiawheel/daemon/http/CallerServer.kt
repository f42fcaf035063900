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

/** The HTTP server for callers. */
internal class CallerServer(
    private val settings: DaemonSettings,
    private val clock: Clock,
    private val chains: Chains,
    private val registry: PrometheusMeterRegistry,
    private val readiness: () -> String?,
) {
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = settings.listen.port, host = settings.listen.host) {
            // A caller that leaves while its request waits gives its place in the queue back.
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

    /** Stops the server at once; graceful shutdown has waited before. */
    suspend fun stop() {
        server.stopSuspend(0, STOP_TIMEOUT_MILLIS)
    }

    /** Like [stop], for callers that cannot suspend. */
    fun stopNow() {
        server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    private fun Routing.routes() {
        post("/v1/services/{service}/generations") { serve(Exchange.Kind.GENERATION, chains.generation) }
        get("/v1/generations/{handle}") { serve(Exchange.Kind.RESUME, chains.resume) }
        post("/v1/services/{service}/calls/{call}") { serve(Exchange.Kind.CALL, chains.call) }
        get("/v1/services/{service}/calls/{call}/outcomes/{key}") { serve(Exchange.Kind.OUTCOME, chains.outcome) }
        get("/health") { call.respondText("ok\n") }
        get("/ready") { respondReadiness(call) }
        get("/metrics") { call.respondText(registry.scrape(), ContentType.Text.Plain) }
    }

    private suspend fun RoutingContext.serve(
        kind: Exchange.Kind,
        chain: suspend (Exchange) -> Reply,
    ) {
        chain(Exchange(call, kind, requestIdOf(call), clock.nowMillis()))
    }

    private fun requestIdOf(call: ApplicationCall): RequestId {
        val given = call.request.headers["X-Request-Id"]?.takeIf { idPattern.matches(it) }
        return RequestId(given ?: UUID.randomUUID().toString())
    }

    private suspend fun respondReadiness(call: ApplicationCall) {
        val obstacle = readiness()
        if (obstacle == null) {
            call.respondText("ready\n")
        } else {
            call.respondText("$obstacle\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    /** The filter chains of the callers' interfaces, each ending in its handler. */
    internal class Chains(
        val generation: suspend (Exchange) -> Reply,
        val resume: suspend (Exchange) -> Reply,
        val call: suspend (Exchange) -> Reply,
        val outcome: suspend (Exchange) -> Reply,
    )

    private companion object {
        const val STOP_TIMEOUT_MILLIS = 500L
        val idPattern = Regex("[A-Za-z0-9._-]{1,128}")
    }
}
