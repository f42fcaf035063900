package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.http.CallerResponse

/** Whether a different replica now serves the address; the request has not run then. */
internal val HttpResponse.isMisdirected: Boolean get() = status().code() == MISDIRECTED

/** Whether the replica states that it has not run the request. */
internal val HttpResponse.isNotRun: Boolean get() = isMisdirected || headers().contains(Headers.NOT_RUN)

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

private const val MISDIRECTED = 421
private val NOT_RUN_STATUSES = setOf(408, MISDIRECTED, 429, 503)
