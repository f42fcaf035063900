package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses on one connection and tracks where they end, to the byte. Bytes after a response that do not
 * complete a message yet produce no message, but would be taken for the beginning of the next response.
 */
internal class ResponseDecoder : HttpResponseDecoder(HttpDecoderConfig()) {
    /** Whether a response belongs to a `HEAD` request: it has no body then, whatever its headers say. */
    var answersHead: (HttpMessage) -> Boolean = { false }

    /** Whether no byte was received since the end of the last response, or ever. */
    var isBetweenResponses = true
        private set

    /** Called with the bytes of each read before they are decoded. */
    var onBytes: (ByteBuf) -> Unit = {}

    /** Called at the end of each response with the bytes that were received behind it, before they are decoded. */
    var onEnd: (ByteBuf) -> Unit = {}

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) onBytes(message)
        super.channelRead(context, message)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        answersHead(message) || super.isContentAlwaysEmpty(message)

    /** Fails a head whose status the superclass would read as a number, although it is none of the protocol. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        if (!StatusLine.isStatus(initialLine[1])) throw InvalidResponseException("an invalid status")
        return super.createMessage(initialLine)
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val first = out.size
        val available = buffer.readableBytes()
        super.decode(context, buffer, out)
        for (index in first until out.size) (out[index] as? HttpResponse)?.let(::rejectMerged)
        val last = if (out.size > first) out[out.size - 1] else null
        isBetweenResponses =
            if (last is LastHttpContent) !buffer.isReadable else isBetweenResponses && available == 0
        if (last is LastHttpContent) onEnd(buffer)
    }

    /**
     * Fails a head that was not received as one: it contains the status line of another response, if the beginning of
     * a head, which may end at any byte, precedes another one on the connection, or its own status line is incomplete.
     */
    private fun rejectMerged(head: HttpResponse) {
        if (head.decoderResult().isFailure) return
        val isMerged =
            StatusLine.isWithin(head.status().reasonPhrase()) ||
                head.headers().any { (_, value) -> StatusLine.isWithin(value) }
        val fault =
            when {
                !StatusLine.isValid(head) -> "an invalid status line"
                isMerged -> "a status line within a head"
                else -> return
            }
        head.decoderResult = DecoderResult.failure(InvalidResponseException(fault))
    }
}
