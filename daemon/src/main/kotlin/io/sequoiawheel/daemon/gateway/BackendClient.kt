package io.sequoiawheel.daemon.gateway

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.statement.HttpResponse
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.serving.DispatchException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/**
 * The HTTP client for backend servers. It opens a connection per request and never retries, so a failure to connect
 * proves that no byte of the request was sent.
 */
class BackendClient : AutoCloseable {
    internal val http =
        HttpClient(CIO) {
            followRedirects = false
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAXIMUM_CONNECTIONS
                endpoint {
                    maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
                    connectAttempts = 1
                    connectTimeout = CONNECT_TIMEOUT_MILLIS
                    socketTimeout = Long.MAX_VALUE
                }
            }
        }

    override fun close() = http.close()

    internal companion object {
        const val NOT_RUN_HEADER = "X-Not-Run"
        const val REQUEST_HEADER = "X-Request-Id"
        const val DEADLINE_HEADER = "X-Deadline-Millis"
        const val RETRY_AFTER_HEADER = "X-Retry-After-Millis"

        // The limit on concurrent requests bounds the connections; a lower limit here would queue requests unnoticed.
        private const val MAXIMUM_CONNECTIONS = 100_000

        // The network latency to a backend server is one to three milliseconds.
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L

        /**
         * Runs [block] and translates its exceptions to [DispatchException]. Cancellation of the calling coroutine is
         * rethrown, and so is any exception while [isEmitting] returns true, as it comes from the collector of events.
         */
        suspend fun <T> translatingFailures(
            isEmitting: () -> Boolean = { false },
            block: suspend () -> T,
        ): T =
            try {
                block()
            } catch (error: DispatchException) {
                throw error
            } catch (error: CancellationException) {
                if (isEmitting()) throw error
                // The client also reports a broken connection as a cancellation.
                currentCoroutineContext().ensureActive()
                throw connectionLost(error)
            } catch (error: Exception) {
                throw if (isEmitting()) error else toDispatchException(error)
            }

        private fun toDispatchException(error: Exception) =
            if (isConnectFailure(error)) connectFailed(error) else connectionLost(error)

        /** Translates an error status. Proof that the request did not run is accepted only if it names [id]. */
        fun rejection(
            response: HttpResponse,
            id: String,
        ): DispatchException {
            val provenNotRun = response.headers[NOT_RUN_HEADER] == id
            val outcome = if (provenNotRun) DispatchException.Outcome.NOT_RUN else DispatchException.Outcome.UNKNOWN
            val retryAfter = response.headers[RETRY_AFTER_HEADER]?.toLongOrNull()
            val message = "the backend server answered with status ${response.status.value}"
            return DispatchException(outcome, message, retryAfterMillis = retryAfter)
        }

        private fun isConnectFailure(error: Exception): Boolean =
            error is ConnectException ||
                error is ConnectTimeoutException ||
                error is NoRouteToHostException ||
                error is UnresolvedAddressException

        private fun connectFailed(error: Exception) =
            DispatchException(
                DispatchException.Outcome.NOT_RUN,
                "cannot connect to the backend server: ${error.message}",
                error,
                ResultCode.CONNECT_FAILED,
            )

        private fun connectionLost(error: Exception) =
            DispatchException(
                DispatchException.Outcome.UNKNOWN,
                "connection to the backend server lost: ${error.message}",
                error,
            )
    }
}
