package io.sequoiawheel.relay.control

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.platform.StoreBodyReader
import io.sequoiawheel.relay.backend.BackendConnection

/** The body of a response of the store, of any size, that [reader] reads while it is received. */
internal class StreamedBody(
    private val reader: StoreBodyReader<*>,
    private val reading: StoreReading,
) {
    /** Receives about [PART_BYTES], and returns whether these were the last ones. */
    suspend fun receivePart(connection: BackendConnection): Boolean {
        var received = 0
        while (received < PART_BYTES) {
            val content = connection.receiveContent()
            try {
                received += content.content().readableBytes()
                read(content.content())
            } finally {
                content.release()
            }
            if (content is LastHttpContent) return true
        }
        return false
    }

    private fun read(part: ByteBuf) {
        val bytes = part.readableBytes()
        reading.recordPart(bytes)
        if (part.hasArray()) {
            reader.feed(part.array(), part.arrayOffset() + part.readerIndex(), bytes)
        } else {
            reader.feed(ByteBufUtil.getBytes(part))
        }
    }

    private companion object {
        /** The slowest link of a deployment carries as much in a tenth of a second. */
        const val PART_BYTES = 65_536
    }
}
