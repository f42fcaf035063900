package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.platform.Headers

/** Whether a different replica now serves the address; the request has not run then. */
internal val HttpResponse.isMisdirected: Boolean get() = status().code() == MISDIRECTED

/** Whether the replica states that it has not run the request. */
internal val HttpResponse.isNotRun: Boolean get() = isMisdirected || headers().contains(Headers.NOT_RUN)

/** Whether the status implies to callers that the request has not run, which holds only if [isNotRun] is true. */
internal val HttpResponse.hasNotRunStatus: Boolean get() = status().code() in NOT_RUN_STATUSES

/** Whether the response carries the replica's signature. */
internal val HttpResponse.isSigned: Boolean get() = headers().contains(Headers.SIGNATURE)

private const val MISDIRECTED = 421
private val NOT_RUN_STATUSES = setOf(408, MISDIRECTED, 429, 503)
