package io.sequoiawheel.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.sequoiawheel.core.memory.MemoryCost

/**
 * Decodes requests strictly. A request with both a Content-Length and a Transfer-Encoding is rejected, since two
 * parsers could disagree on where it ends (request smuggling). Counts the memory of what is not decoded completely yet.
 */
internal class CallerRequestDecoder private constructor(
    maximumHeaderBytes: Int,
    private val undecodedHeaders: HeaderMeter,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maximumHeaderBytes)
            .setMaxHeaderSize(maximumHeaderBytes)
            .setChunkedSupported(true)
            .setAllowDuplicateContentLengths(false)
            .setHeadersFactory(MeteredHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), undecodedHeaders))
            .setTrailersFactory(MeteredHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), undecodedHeaders)),
    ) {
    constructor(maximumHeaderBytes: Int) : this(maximumHeaderBytes, HeaderMeter())

    /** Memory of the received bytes and of the headers or trailers that belong to no decoded message yet. */
    val undecodedBytes: Long get() = actualReadableBytes() + undecodedHeaders.bytes

    /** Number of bytes received since the connection was opened. */
    var receivedBytes = 0L
        private set

    /** Called when a head or the end of a body was decoded, so that its headers are counted with the message. */
    fun onHeadersDecoded() {
        undecodedHeaders.bytes = 0
    }

    /** The decoder keeps the initial line and the last header to itself until it has read what follows them. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        undecodedHeaders.bytes += MemoryCost.ofHead(initialLine.sumOf { it.length.toLong() }, lines = 1)
        return super.createMessage(initialLine)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        super.channelRead(context, message)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Sums up the memory of the headers of a message that is being decoded. */
private class HeaderMeter {
    var bytes = 0L
}

private class MeteredHeadersFactory(
    private val original: DefaultHttpHeadersFactory,
    private val meter: HeaderMeter,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = MeteredHeaders(original, meter)

    override fun newEmptyHeaders(): HttpHeaders = original.newEmptyHeaders()
}

private class MeteredHeaders(
    factory: DefaultHttpHeadersFactory,
    private val meter: HeaderMeter,
) : DefaultHttpHeaders(factory.nameValidator, factory.valueValidator) {
    override fun add(
        name: String,
        value: Any,
    ): HttpHeaders {
        meter.bytes += CallerMemoryCost.ofHeader(name, value)
        return super.add(name, value)
    }

    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        meter.bytes += CallerMemoryCost.ofHeader(name, value)
        return super.add(name, value)
    }
}
