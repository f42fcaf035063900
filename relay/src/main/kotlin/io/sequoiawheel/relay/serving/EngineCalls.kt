package io.sequoiawheel.relay.serving

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.StopPermit
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.backend.ConnectFailedException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** The result of a call to a model engine. */
internal sealed interface EngineResult {
    /**
     * The engine responded with [status] and the body [text].
     *
     * @property isOnUsedConnection whether the connection had carried other requests, to which the response may belong
     */
    class Response(
        val status: Int,
        val text: String,
        val isOnUsedConnection: Boolean,
    ) : EngineResult

    /** No connection could be opened. */
    class Unreachable(
        val detail: String,
    ) : EngineResult

    /** No whole response arrived in time. */
    class NoResponse(
        val detail: String,
    ) : EngineResult

    /** Nothing was sent, since the engine accepts connections but no such request now. */
    class HeldBack(
        val detail: String,
    ) : EngineResult
}

/** Calls to model engines about the runs of generations, other than the generations themselves. */
internal class EngineCalls(
    private val context: RelayContext,
) {
    /** Asks [source] to copy the run of [requestId] to [destination] while it goes on. */
    suspend fun copyRun(
        requestId: String,
        source: Replica,
        destination: Replica,
        timeoutMillis: Long,
    ): EngineResult {
        val body = EngineProtocol.copyRunBody(requestId, endpoint(destination), stop = false)
        return call(source, HttpMethod.POST, EngineProtocol.COPY_RUN_PATH, body, timeoutMillis) {
            context.tryAdmitControl(source, SendPurpose.COPY)
        }
    }

    /**
     * Asks [source] to stop the run of [requestId] and then to copy it to [destination].
     *
     * @param mayUseKept whether to use an idle connection that carried other requests, if there is one
     * @param onConnected called once a new connection is open, before the request is admitted; not with [mayUseKept]
     */
    suspend fun stopRun(
        requestId: String,
        source: Replica,
        destination: Replica,
        permit: StopPermit,
        mayUseKept: Boolean,
        timeoutMillis: Long,
        onConnected: () -> Unit,
    ): EngineResult {
        val body = EngineProtocol.copyRunBody(requestId, endpoint(destination), stop = true)
        return call(source, HttpMethod.POST, EngineProtocol.COPY_RUN_PATH, body, timeoutMillis, mayUseKept) {
            if (!mayUseKept) onConnected()
            context.tryAdmitStop(source, permit)
        }
    }

    /** Asks [holder] to free the copy with [handle]: at both ends, if [holder] made the copy. */
    suspend fun releaseCopy(
        holder: Replica,
        handle: String,
        timeoutMillis: Long,
    ): EngineResult =
        call(holder, HttpMethod.DELETE, EngineProtocol.releaseCopyPath(handle), null, timeoutMillis) {
            context.tryAdmitControl(holder, SendPurpose.RELEASE)
        }

    private suspend fun call(
        replica: Replica,
        method: HttpMethod,
        path: String,
        body: String?,
        timeoutMillis: Long,
        mayUseKept: Boolean = false,
        admit: () -> Boolean,
    ): EngineResult =
        try {
            val request = request(replica, method, path, body)
            withTimeoutOrNull(timeoutMillis) { exchange(replica, request, mayUseKept, admit) }
                ?: EngineResult.NoResponse("no response within $timeoutMillis ms")
        } catch (failure: ConnectFailedException) {
            EngineResult.Unreachable(failure.message.orEmpty())
        } catch (failure: IOException) {
            EngineResult.NoResponse(failure.message.orEmpty())
        }

    private suspend fun exchange(
        replica: Replica,
        request: DefaultFullHttpRequest,
        mayUseKept: Boolean,
        admit: () -> Boolean,
    ): EngineResult =
        context.pool.use(replica, requestId = null, mustBeRecent = true, mayBeUsed = mayUseKept) { lease ->
            val isUsed = lease.connection.isReused
            if (!admit()) {
                lease.complete()
                return@use EngineResult.HeldBack("$replica accepts no such request now")
            }
            lease.connection.send(request)
            val head = lease.connection.receiveHead(requestId = null)
            if (head.isMisdirected && !isUsed) replica.leave(LeaveReason.REPLACED)
            val text = String(lease.connection.receiveBody(BODY_LIMIT_BYTES))
            lease.complete()
            EngineResult.Response(head.status().code(), text, isUsed)
        }

    private fun request(
        replica: Replica,
        method: HttpMethod,
        path: String,
        body: String?,
    ): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(body.orEmpty().toByteArray())
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content)
        request.headers().set(HttpHeaderNames.HOST, replica.entry.address)
        // The address of a replica that ended may be in use again, by one that runs the same request.
        request.headers().set(Headers.EXPECTED_REPLICA, replica.entry.id.value)
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        return request
    }

    companion object {
        /** Responses name a handle and a count. */
        private const val BODY_LIMIT_BYTES = 65_536

        /** Returns where other replicas reach [replica]. */
        fun endpoint(replica: Replica) = Endpoint(replica.entry.host, replica.entry.port)
    }
}
