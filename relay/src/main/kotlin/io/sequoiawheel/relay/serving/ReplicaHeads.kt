package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.http.CallerResponse

/** Whether a different replica now serves the address; a request that expects another replica does not run there. */
internal val HttpResponse.isMisdirected: Boolean get() = status().code() == MISDIRECTED

/**
 * Whether the response proves that the replica has not run the request: it is misdirected, or says so with a status
 * that agrees, and lacks the signature of a request that ran.
 */
internal val HttpResponse.isNotRun: Boolean
    get() = (isMisdirected || headers().contains(Headers.NOT_RUN) && status().code() in REFUSAL_STATUSES) && !isSigned

/** Whether the response says that the request has not run, but its status or signature says that it has. */
internal val HttpResponse.isContradictory: Boolean get() = headers().contains(Headers.NOT_RUN) && !isNotRun

/** Whether the status implies to callers that the request has not run, which holds only if [isNotRun] is true. */
internal val HttpResponse.hasNotRunStatus: Boolean get() = status().code() in NOT_RUN_STATUSES

/** Whether the response carries the replica's signature. */
internal val HttpResponse.isSigned: Boolean get() = headers().contains(Headers.SIGNATURE)

/** Whether the body of this response can follow what was sent of [begun], which has one status and one media type. */
internal fun HttpResponse.canContinue(begun: CallerResponse): Boolean {
    if (!begun.isStarted) return true
    val mediaType = headers().get(HttpHeaderNames.CONTENT_TYPE)?.let(CallerResponse::mediaTypeOf)
    return status().code() == begun.status && mediaType == begun.mediaType
}

/** Another replica than the named one received the request. */
internal const val MISDIRECTED = 421
private const val BAD_REQUEST = 400
private val NOT_RUN_STATUSES = setOf(408, MISDIRECTED, 429, 503)
private val REFUSAL_STATUSES = NOT_RUN_STATUSES + BAD_REQUEST
