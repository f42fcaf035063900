package io.sequoiawheel.relay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The body of a request, in the segments in which it was received. */
internal class CallerBody(
    private val segments: List<ByteArray>,
    val size: Int,
) {
    /** Returns a buffer that shares the memory of this body. */
    fun toBuffer(): ByteBuf {
        if (segments.isEmpty()) return Unpooled.EMPTY_BUFFER
        val buffers = segments.map(Unpooled::wrappedBuffer).toTypedArray()
        return Unpooled.wrappedBuffer(buffers.size, *buffers).slice(0, size)
    }
}

/**
 * Gathers a body without copying what was gathered before. Memory is reserved before it is allocated, in segments that
 * grow with the body, so that neither an announced length nor tiny parts occupy more than about twice what was sent.
 *
 * @param announcedBytes length that the head announces, or null
 * @param tryHold reserves memory; returns false if there is none
 */
internal class CallerBodyBuilder(
    private val announcedBytes: Int?,
    private val tryHold: (Long) -> Boolean,
) {
    private val segments = ArrayList<ByteArray>()
    private var used = 0

    /** Number of bytes gathered. */
    var size = 0
        private set

    /** Appends the readable bytes of [content]. Returns false if there is no memory for them. */
    fun append(content: ByteBuf): Boolean {
        while (content.isReadable) {
            val last = segments.lastOrNull()
            if (last == null || used == last.size) {
                if (!addSegment(content.readableBytes())) return false
            } else {
                val length = minOf(content.readableBytes(), last.size - used)
                content.readBytes(last, used, length)
                used += length
                size += length
            }
        }
        return true
    }

    fun build() = CallerBody(segments, size)

    private fun addSegment(needed: Int): Boolean {
        val left = announcedBytes?.minus(size)?.takeIf { it >= needed } ?: Int.MAX_VALUE
        val length = minOf(maxOf(needed, size, MINIMUM_SEGMENT_BYTES), maxOf(needed, MAXIMUM_SEGMENT_BYTES), left)
        if (!tryHold(length + SEGMENT_OVERHEAD_BYTES)) return false
        segments += ByteArray(length)
        used = 0
        return true
    }

    private companion object {
        const val MINIMUM_SEGMENT_BYTES = 512
        const val MAXIMUM_SEGMENT_BYTES = 65_536

        /** The array's header, its place in the list, and the buffer that refers to it when it is sent. */
        const val SEGMENT_OVERHEAD_BYTES = 128L
    }
}
