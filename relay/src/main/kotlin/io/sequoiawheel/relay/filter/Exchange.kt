package io.sequoiawheel.relay.filter

import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.RelayConfiguration
import io.sequoiawheel.core.relay.Route
import io.sequoiawheel.core.relay.Workspace
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.http.CallerRequest
import io.sequoiawheel.relay.http.CallerResponse
import kotlinx.collections.immutable.ImmutableSet

/** A request and its response, with the state that the filters set as they handle it. Confined to the event loop. */
internal class Exchange(
    val request: CallerRequest,
    val response: CallerResponse,
) {
    val requestId: String? = request.headers.get(Headers.REQUEST_ID)

    /** Id of the last event of the stream that the caller received before, or null. */
    val lastEventId: Long? get() =
        request.headers
            .get(Headers.LAST_EVENT_ID)
            ?.trim()
            ?.toLongOrNull()

    /** Estimated resource demand of the request if it is a generation. */
    val demand: GenerationDemand by lazy {
        EngineProtocol
            .decodeDemand(request.headers.get(Headers.TOKENS), request.headers.get(Headers.OUTPUT_ESTIMATE))
            .copy(
                firstEventObjectiveMillis = route?.objectiveMillis ?: 0,
                eventGapMillis = route?.eventGapMillis ?: 0,
            )
    }

    /** The parts of the prompt that other requests may share; empty if the request has no prompt. */
    val sharedParts: ImmutableSet<PromptPart> by lazy {
        EngineProtocol.decodeSharedParts(request.headers.get(Headers.PREFIX_HASH))
    }

    /** Whether a run went on for so long that the request is not one that ends its replica. */
    var isProvenSound = false

    /**
     * The configuration that the filters apply, or null if there is none or after [releaseConfiguration]. A stream may
     * outlast many versions, so an exchange holds on to its own route, service and workspace only.
     */
    var configuration: RelayConfiguration? = null
        set(value) {
            field = value
            if (value != null) configurationVersion = value.version
        }

    /** Version of the last [configuration], or null if there was none. */
    var configurationVersion: Long? = null
        private set

    var route: Route? = null
    var workspace: Workspace? = null

    /** Priority of the request's workspace, or else of its route; 0 is the most urgent. */
    val rank: Int get() = workspace?.priority ?: route?.priority ?: 0

    /** Whether generations that can still meet their objective go before this one. */
    var isDeferrable = false

    /** Monotonic time at which the caller or the route stops waiting. */
    var deadlineMillis = Long.MAX_VALUE

    /** Whether any byte of the request may have been sent to a replica that did not refuse it. */
    var mayHaveRun = false

    /** Number of times that the request was sent to a replica. */
    var sends = 0

    /** The sends, for the log. */
    val sendLog = SendLog()

    /** The result code for the log and the metrics, or null if none has been set yet. */
    var result: ResultCode? = null

    /** Why the response was last interrupted after it had begun, one of a few names, or null. */
    var interruption: String? = null

    /** Additional fields for the request log that explain the result. */
    val logFields = LinkedHashMap<String, Any?>()

    /** Drops the reference to the whole configuration once its decisions about the request are made. */
    fun releaseConfiguration() {
        configuration = null
    }

    /**
     * Refuses a request that certainly has not run, with the delay after which the caller should retry. Fails it
     * instead if it may have run: the refusal of one send says nothing of the others.
     */
    suspend fun refuse(
        proof: NotRunProof,
        code: ResultCode,
        detail: String,
        retryAfterMillis: Long,
    ) {
        if (mayHaveRun) return fail(ResultCode.OUTCOME_UNKNOWN, detail)
        result = code
        logFields["proof"] = proof.name
        logFields["detail"] = detail
        endWithError(HttpResponseStatus.SERVICE_UNAVAILABLE, code, detail, retryAfterMillis)
    }

    /** Refuses a request because of a quarantined [part] of its prompt; fails it if it may have run. */
    suspend fun refuseQuarantined(part: PromptPart) =
        refuse(
            NotRunProof.NOTHING_SENT,
            ResultCode.PROMPT_QUARANTINED,
            "part $part of the prompt is quarantined",
            PartQuarantine.RETRY_AFTER_MILLIS,
        )

    /** Refuses a request that has not been sent because the instance is shutting down, and closes the connection. */
    suspend fun refuseForShutdown() {
        response.closeWhenComplete()
        refuse(
            NotRunProof.NOTHING_SENT,
            ResultCode.LEAVING,
            "this instance is shutting down",
            OTHER_INSTANCE_RETRY_MILLIS,
        )
    }

    /** Rejects a request that the configuration does not allow. */
    suspend fun reject(
        code: ResultCode,
        detail: String,
    ) {
        result = code
        logFields["detail"] = detail
        endWithError(HttpResponseStatus.valueOf(code.httpStatus), code, detail)
    }

    /** Fails a request that may have run. */
    suspend fun fail(
        code: ResultCode,
        detail: String,
    ) {
        result = code
        logFields["detail"] = detail
        endWithError(HttpResponseStatus.valueOf(code.httpStatus), code, detail)
    }

    /** Sends an error response, or aborts the response if it has already started. */
    private suspend fun endWithError(
        status: HttpResponseStatus,
        code: ResultCode,
        detail: String,
        retryAfterMillis: Long? = null,
    ) = if (response.isStarted) response.abort() else response.sendError(status, code, detail, retryAfterMillis)
}
