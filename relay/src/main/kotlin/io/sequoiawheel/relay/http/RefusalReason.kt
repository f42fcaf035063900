package io.sequoiawheel.relay.http

import io.netty.handler.codec.http.HttpResponseStatus
import io.sequoiawheel.core.model.ResultCode
import java.io.IOException

/**
 * Why a caller was refused, or its connection closed, before its request was read completely, so that it has not run.
 *
 * @property label the label of the metric
 */
internal enum class RefusalReason(
    val label: String,
    val status: HttpResponseStatus,
    val code: ResultCode,
    val detail: String,
) {
    /** The memory for callers is used up, and this one made the least progress for its bytes. */
    MEMORY(
        "memory",
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        ResultCode.NO_MEMORY,
        "no memory is left for this request",
    ),

    /** The head was not complete within the time of the configuration. */
    SLOW_HEAD(
        "slow head",
        HttpResponseStatus.REQUEST_TIMEOUT,
        ResultCode.INVALID_REQUEST,
        "the head did not arrive in time",
    ),

    /** The body paused too long, or arrived too slowly. */
    SLOW_BODY(
        "slow body",
        HttpResponseStatus.REQUEST_TIMEOUT,
        ResultCode.INVALID_REQUEST,
        "the body did not arrive in time",
    ),

    /** Too many connections are open, and this one was idle the longest. */
    CONNECTIONS(
        "connections",
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        ResultCode.NO_MEMORY,
        "too many connections are open",
    ),

    /** Requests that were sent behind an unanswered one exceed the memory for callers; the connection is reset. */
    PIPELINED(
        "pipelined",
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        ResultCode.NO_MEMORY,
        "too many requests wait behind an unanswered one",
    ),
}

/** Thrown to the coroutine of a connection whose request is refused while it is being read. */
internal class CallerRefusedException(
    val reason: RefusalReason,
) : IOException(reason.detail)
