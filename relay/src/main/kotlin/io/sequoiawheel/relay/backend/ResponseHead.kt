package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpResponse

/** Why a response belongs to no request. The labels are used in metrics. */
internal enum class UnmatchedReason(
    val label: String,
) {
    /** No request was in progress on the connection. */
    NO_REQUEST("no_request"),

    /** It names no request, or several. */
    NO_ID("no_id"),

    /** It names another request than the one in progress. */
    OTHER_ID("other_id"),

    /** The request in progress was answered before. */
    REPEATED("repeated"),
}

/**
 * The head of a response as it was received.
 *
 * @property sentAtMillis when the request was sent that the response answers, or null if it answers none
 * @property unmatched why it answers no request, or null if it answers one
 * @property connection what the connection has carried
 */
internal class ResponseHead(
    val response: HttpResponse,
    val sentAtMillis: Long?,
    val unmatched: UnmatchedReason?,
    val connection: ConnectionTrace,
)
