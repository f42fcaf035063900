package io.sequoiawheel.relay.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A complete request as the caller sent it.
 *
 * @property target the unmodified request target: path and query
 * @property receivedAtMillis monotonic time at which the head was read
 */
internal class CallerRequest(
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: CallerBody,
    val receivedAtMillis: Long,
    val keepsConnection: Boolean,
) {
    val path: String get() = target.substringBefore('?')
}
