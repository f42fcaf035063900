package io.sequoiawheel.relay.filter

import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.Route
import io.sequoiawheel.core.relay.Workspace
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.http.CallerRequest
import io.sequoiawheel.relay.http.CallerResponse

/** One request on its way through the filters, with what they decided so far. Confined to the event loop. */
internal class Exchange(
    val request: CallerRequest,
    val response: CallerResponse,
) {
    val requestId: String? = request.headers.get(Headers.REQUEST_ID)

    /** What the request will need if it is a generation. */
    val demand: GenerationDemand by lazy {
        EngineProtocol.decodeDemand(request.headers.get(Headers.TOKENS), request.headers.get(Headers.OUTPUT_ESTIMATE))
    }

    var configuration: RelayConfiguration? = null
    var route: Route? = null
    var workspace: Workspace? = null

    /** Monotonic time at which the caller or the route stops waiting. */
    var deadlineMillis = Long.MAX_VALUE

    /** Whether any byte of the request may have left towards a replica that did not refuse it. */
    var mayHaveRun = false

    /** The result that is logged. */
    var result: ResultCode? = null

    /** What led to the result, for the log. */
    val notes = LinkedHashMap<String, Any?>()

    /** Refuses a request that certainly has not run, with the time after which the caller should come back. */
    suspend fun refuse(
        proof: NotRunProof,
        code: ResultCode,
        detail: String,
        retryAfterMillis: Long,
    ) {
        result = code
        notes["proof"] = proof.name
        notes["detail"] = detail
        response.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, code, detail, retryAfterMillis)
    }

    /** Rejects a request that the configuration does not allow. */
    suspend fun reject(
        code: ResultCode,
        detail: String,
    ) {
        result = code
        notes["detail"] = detail
        response.refuse(HttpResponseStatus.valueOf(code.httpStatus), code, detail)
    }

    /** Fails a request that may have run. Cuts the response if it has begun. */
    suspend fun fail(
        code: ResultCode,
        detail: String,
    ) {
        result = code
        notes["detail"] = detail
        if (response.isStarted) {
            response.abort()
        } else {
            response.refuse(HttpResponseStatus.valueOf(code.httpStatus), code, detail)
        }
    }
}
