package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpResponse

/**
 * The head of a response as it was received.
 *
 * @property sentAtMillis when the request was sent that the response answers, or null if it answers none
 */
internal class ResponseHead(
    val response: HttpResponse,
    val sentAtMillis: Long?,
)
