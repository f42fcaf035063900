package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.platform.Headers

/**
 * The body of a response to another request, which is skipped. It may have been broken off, so that it extends into
 * the response that follows on the connection: that one can no longer be received then.
 */
internal class SkippedBody {
    private var skippedBytes = 0
    private var end = ""

    /** Skips [content]. Throws [InvalidResponseException] if it holds a part of another response, or too many bytes. */
    fun skip(content: HttpContent) {
        skippedBytes += content.content().readableBytes()
        if (skippedBytes > BackendConnection.BODY_LIMIT_BYTES) {
            throw InvalidResponseException("response to another request is too large")
        }
        val text = end + content.content().toString(Charsets.ISO_8859_1)
        end = text.takeLast(StatusLine.RECOGNIZED_CHARACTERS - 1)
        if (StatusLine.isWithin(text) || content is LastHttpContent && hasHead(content)) {
            throw InvalidResponseException("response to another request extends into the next one")
        }
    }

    private fun hasHead(last: LastHttpContent): Boolean =
        last.trailingHeaders().any { (name, value) ->
            name.equals(Headers.REQUEST_ID, ignoreCase = true) || StatusLine.isWithin(value)
        }
}
