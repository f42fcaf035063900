package io.sequoiawheel.relay.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.sequoiawheel.core.relay.UnreadRequests

/**
 * Writes requests in pieces, so that [unread] shows how far the replica has read them. The pieces share the memory of
 * the body.
 */
internal class RequestWriter(
    private val channel: Channel,
    private val unread: UnreadRequests,
) {
    /** Writes [request] and takes over its reference. The result is complete when the whole request was sent. */
    fun write(request: FullHttpRequest): ChannelFuture {
        val content = request.content()
        if (content.readableBytes() <= PIECE_BYTES) return track(request, content.readableBytes() + HEAD_BYTES)
        val head = DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers())
        track(head, HEAD_BYTES)
        while (content.readableBytes() > PIECE_BYTES) {
            track(DefaultHttpContent(content.readRetainedSlice(PIECE_BYTES)), PIECE_BYTES)
        }
        val rest = content.readableBytes()
        val last: HttpContent = DefaultLastHttpContent(content.readRetainedSlice(rest))
        request.release()
        return track(last, rest)
    }

    private fun track(
        message: Any,
        bytes: Int,
    ): ChannelFuture {
        unread.begin(bytes)
        return channel.write(message).addListener { unread.end(bytes, it.isSuccess) }
    }

    private companion object {
        /** Small enough for progress to show within tenths of a second on the slowest link. */
        const val PIECE_BYTES = 16_384

        /** Memory of the head of an ordinary request. */
        const val HEAD_BYTES = 1_024
    }
}
