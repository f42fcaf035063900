package io.sequoiawheel.relay.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * One whole request as the caller sent it.
 *
 * @property target path and query, unchanged
 * @property receivedAtMillis monotonic time at which its first byte was read
 */
internal class CallerRequest(
    val method: HttpMethod,
    val target: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val receivedAtMillis: Long,
    val keepsConnection: Boolean,
) {
    val path: String get() = target.substringBefore('?')
}
