package io.sequoiawheel.objectapi

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.content.TextContent
import io.ktor.http.isSuccess
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.objectapi.internal.PlatformCall
import io.sequoiawheel.objectapi.internal.PlatformReply
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

/**
 * The HTTP transport from one daemon to the platform. All clients of the daemon share it and its rate limiter.
 *
 * Calls are never retried. A call without a response fails with `PLATFORM_UNAVAILABLE`; after such a write, the caller
 * must read the object to find out whether the write took effect.
 */
class PlatformTransport(
    private val settings: PlatformSettings,
    clock: Clock = Clock { System.nanoTime() / NANOS_PER_MILLI },
) : AutoCloseable {
    private val rateLimiter = CallRateLimiter(settings.callsPerSecond, settings.callBurst, clock)
    private val client =
        HttpClient(CIO) {
            followRedirects = false
            expectSuccess = false
            install(HttpTimeout)
            engine {
                requestTimeout = 0
                endpoint {
                    connectAttempts = 1
                    connectTimeout = settings.connectTimeoutMillis
                }
            }
        }

    /** Sends [call] once. Returns any response with a status below 500, otherwise fails with `PLATFORM_UNAVAILABLE`. */
    internal suspend fun exchange(call: PlatformCall): Either<Failure, PlatformReply> {
        awaitCallPermit()?.let { return it.left() }
        val reply =
            try {
                send(call)
            } catch (error: CancellationException) {
                // Ktor also cancels a call when its connection closes; only a cancellation of the caller is propagated.
                currentCoroutineContext().ensureActive()
                return unavailable(call, error)
            } catch (error: Exception) {
                return unavailable(call, error)
            }
        return if (reply.status >= SERVER_ERROR || reply.status == TOO_MANY_CALLS && call.isObjectCall) {
            unavailable("${call.method} ${call.url} returned status ${reply.status}").left()
        } else {
            reply.right()
        }
    }

    override fun close() = client.close()

    private suspend fun awaitCallPermit(): Failure? {
        var waitedMillis = 0L
        while (true) {
            val waitMillis = rateLimiter.tryAcquire()
            if (waitMillis == 0L) return null
            if (waitedMillis + waitMillis > settings.requestTimeoutMillis) {
                return unavailable("the call rate limit is exhausted; the request was not sent", waitMillis)
            }
            delay(waitMillis)
            waitedMillis += waitMillis
        }
    }

    private suspend fun send(call: PlatformCall): PlatformReply {
        val response =
            client.request(call.url) {
                method = HttpMethod.parse(call.method)
                call.expectedVersion?.let { header("If-Match", it.toString()) }
                call.body?.let { setBody(TextContent(it, ContentType.Application.Json)) }
                timeout { requestTimeoutMillis = settings.requestTimeoutMillis + call.waitMillis }
            }
        return PlatformReply(response.status.value, response.status.isSuccess(), response.bodyAsText())
    }

    private fun unavailable(
        call: PlatformCall,
        error: Exception,
    ): Either<Failure, Nothing> =
        unavailable("no response to ${call.method} ${call.url}: ${error.message ?: error.javaClass.simpleName}").left()

    private fun unavailable(
        detail: String,
        retryAfterMillis: Long? = null,
    ) = Failure(ResultCode.PLATFORM_UNAVAILABLE, detail, retryAfterMillis)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val SERVER_ERROR = 500
        const val TOO_MANY_CALLS = 429
    }
}
