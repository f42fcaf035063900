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
 * The HTTP client for backend servers. It opens one connection for each request and never repeats a request, so a
 * connection that cannot be opened proves that no byte of the request left.
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

        // Streams are bounded by the limit of requests; the client's own bounds would queue silently.
        private const val MAXIMUM_CONNECTIONS = 100_000

        // Backend servers are one to three milliseconds away.
        private const val CONNECT_TIMEOUT_MILLIS = 1_000L

        /**
         * Runs [block] and turns what it throws into a [DispatchException], except the caller's own cancellation and
         * what is thrown while [handingOn] says that the caller's code runs inside the block.
         */
        suspend fun <T> dispatching(
            handingOn: () -> Boolean = { false },
            block: suspend () -> T,
        ): T =
            try {
                block()
            } catch (error: DispatchException) {
                throw error
            } catch (error: CancellationException) {
                if (handingOn()) throw error
                // The client also cancels a request whose connection broke.
                currentCoroutineContext().ensureActive()
                throw lost(error)
            } catch (error: Exception) {
                throw if (handingOn()) error else translated(error)
            }

        private fun translated(error: Exception) = if (isConnectFailure(error)) notConnected(error) else lost(error)

        /** Returns the failure for a status other than success. [id] must be named by the server's proof. */
        fun refusal(
            response: HttpResponse,
            id: String,
        ): DispatchException {
            val proven = response.headers[NOT_RUN_HEADER] == id
            val outcome = if (proven) DispatchException.Outcome.NOT_RUN else DispatchException.Outcome.UNKNOWN
            val retryAfter = response.headers[RETRY_AFTER_HEADER]?.toLongOrNull()
            val message = "the backend server answered with status ${response.status.value}"
            return DispatchException(outcome, message, retryAfterMillis = retryAfter)
        }

        private fun isConnectFailure(error: Exception): Boolean =
            error is ConnectException ||
                error is ConnectTimeoutException ||
                error is NoRouteToHostException ||
                error is UnresolvedAddressException

        private fun notConnected(error: Exception) =
            DispatchException(
                DispatchException.Outcome.NOT_RUN,
                "no connection: ${error.message}",
                error,
                ResultCode.CONNECT_FAILED,
            )

        private fun lost(error: Exception) =
            DispatchException(DispatchException.Outcome.UNKNOWN, "connection lost: ${error.message}", error)
    }
}
