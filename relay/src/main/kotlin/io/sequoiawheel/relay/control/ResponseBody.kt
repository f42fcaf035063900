package io.sequoiawheel.relay.control

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.platform.StoreBodyReader
import io.sequoiawheel.relay.backend.BackendConnection
import io.sequoiawheel.relay.backend.ResponseTooLargeException
import java.io.ByteArrayOutputStream

/** Receives the body of a response of the store. */
internal abstract class ResponseBody {
    /** Receives about [PART_BYTES], and returns whether these were the last ones. */
    suspend fun receivePart(connection: BackendConnection): Boolean {
        var received = 0
        while (received < PART_BYTES) {
            val content = connection.receiveContent()
            try {
                received += content.content().readableBytes()
                receive(content.content())
            } finally {
                content.release()
            }
            if (content is LastHttpContent) return true
        }
        return false
    }

    protected abstract fun receive(part: ByteBuf)

    private companion object {
        /** The slowest link of a deployment carries as much in a tenth of a second. */
        const val PART_BYTES = 65_536
    }
}

/** A body of at most [limitBytes] that [reader] reads while it is received. */
internal class StreamedBody(
    private val reader: StoreBodyReader<*>,
    private val reading: StoreReading,
    private val limitBytes: Int,
) : ResponseBody() {
    private var size = 0L

    override fun receive(part: ByteBuf) {
        size += part.readableBytes()
        if (size > limitBytes) throw ResponseTooLargeException(limitBytes)
        reading.recordPart(part.readableBytes())
        if (part.hasArray()) {
            reader.feed(part.array(), part.arrayOffset() + part.readerIndex(), part.readableBytes())
        } else {
            reader.feed(ByteBufUtil.getBytes(part))
        }
    }
}

/** The body of an error or of the response to a write, which holds one object at most. */
internal class ShortBody : ResponseBody() {
    private val bytes = ByteArrayOutputStream()

    /** The beginning of the body. */
    val text: String get() = bytes.toString(Charsets.UTF_8)

    private var size = 0L

    override fun receive(part: ByteBuf) {
        size += part.readableBytes()
        if (size > LIMIT_BYTES) throw ResponseTooLargeException(LIMIT_BYTES)
        part.readBytes(bytes, minOf(part.readableBytes(), KEPT_BYTES - bytes.size()))
    }

    private companion object {
        const val LIMIT_BYTES = 8_388_608
        const val KEPT_BYTES = 1_024
    }
}
