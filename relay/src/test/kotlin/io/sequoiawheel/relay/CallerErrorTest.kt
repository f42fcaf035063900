package io.sequoiawheel.relay

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.filter.FilterChain
import io.sequoiawheel.relay.filter.OutcomeFilter
import io.sequoiawheel.relay.http.CallerRequest
import io.sequoiawheel.relay.http.CallerResponse
import io.sequoiawheel.relay.http.CallerServer
import io.sequoiawheel.relay.http.CallerService
import io.sequoiawheel.relay.http.ConnectionLimits
import io.sequoiawheel.relay.http.UnansweredReason
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Requests whose handling ends by an error of the virtual machine. */
class CallerErrorTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(SupervisorJob() + group.next().asCoroutineDispatcher())
    private val unanswered = CopyOnWriteArrayList<UnansweredReason>()

    @AfterEach
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun connect(terminal: suspend (Exchange) -> Unit): KeptConnection {
        val port = runBlocking { CallerServer(group.next(), scope, service(terminal)).start(ANY_PORT, HEADER_BYTES) }
        return KeptConnection(Socket("127.0.0.1", port))
    }

    private fun service(terminal: suspend (Exchange) -> Unit) =
        object : CallerService {
            override val clock = Clock { System.nanoTime() / 1_000_000 }
            override val limits = ConnectionLimits(65_536, 5_000, 5_000)
            override val isLeaving = false
            private val filters =
                FilterChain(listOf(OutcomeFilter(clock, DecisionLog(clock), RelayMetrics())), terminal)

            override suspend fun serve(
                request: CallerRequest,
                response: CallerResponse,
            ) = filters.handle(Exchange(request, response))

            override fun onRejected(
                code: ResultCode,
                detail: String,
            ) = Unit

            override fun onUnanswered(
                reason: UnansweredReason,
                cause: Throwable?,
            ) {
                unanswered += reason
            }
        }

    // An Error is no Exception: the caller's connection closed without a response, a log line or a count.
    @Test
    fun `a request that fails by a stack overflow is answered`() {
        connect { throw StackOverflowError() }.use { caller ->
            assertEquals(500, caller.call("id-1")?.first)
            assertEquals(500, caller.call("id-2")?.first, "the connection stays open")
        }
        assertEquals(emptyList<UnansweredReason>(), unanswered)
    }

    // A truncated response without a count cannot be found in the metrics.
    @Test
    fun `a response that an error ends midway is reset and counted`() {
        connect { exchange ->
            exchange.response.start(HttpResponseStatus.OK, DefaultHttpHeaders())
            throw OutOfMemoryError("heap")
        }.use { caller ->
            caller.send("id-1")
            generateSequence { caller.receive() }.toList()
            assertNull(caller.receive())
        }
        RelayFixture.awaitTrue("the request is counted") { unanswered.isNotEmpty() }
        assertEquals(listOf(UnansweredReason.ABORTED), unanswered)
    }

    private companion object {
        val ANY_PORT = Endpoint("127.0.0.1", 0)
        const val HEADER_BYTES = 16_384
    }
}
