/*
 * Splits the bytes of an event stream into whole events. A replica may stop in the middle of an event; the caller gets
 * whole events only, so that the stream can continue from another replica without a seam.
 */
package io.sequoiawheel.core.relay

/**
 * One whole event with its terminating blank line.
 *
 * @property id the value of its `id` field as a number, or null if it has none
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
)

/** Collects bytes and returns the events that are complete. Not thread-safe. */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scanned = 0

    /** Bytes of an event that is not complete yet. */
    val pendingBytes: Int get() = size

    /** Takes over [length] bytes of [source] and returns the events that they complete. */
    fun append(
        source: ByteArray,
        length: Int = source.size,
    ): List<StreamEvent> {
        ensure(size + length)
        source.copyInto(buffer, size, 0, length)
        size += length
        val events = ArrayList<StreamEvent>()
        while (true) {
            val end = findEnd() ?: break
            events += StreamEvent(buffer.copyOf(end), idOf(end))
            buffer.copyInto(buffer, 0, end, size)
            size -= end
            scanned = 0
        }
        return events
    }

    /** Returns the index after the blank line that ends the first event, or null. */
    private fun findEnd(): Int? {
        var index = scanned
        while (index < size) {
            if (buffer[index] == NEWLINE) {
                val previous = index - 1
                val ends =
                    previous >= 0 &&
                        buffer[previous] == NEWLINE ||
                        previous >= 1 &&
                        buffer[previous] == RETURN &&
                        buffer[previous - 1] == NEWLINE
                if (ends) return index + 1
            }
            index++
        }
        scanned = maxOf(0, size - 1)
        return null
    }

    private fun idOf(end: Int): Long? =
        String(buffer, 0, end, Charsets.UTF_8)
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    private fun ensure(needed: Int) {
        if (needed <= buffer.size) return
        buffer = buffer.copyOf(maxOf(needed, buffer.size * 2))
    }

    private companion object {
        const val INITIAL_BYTES = 1_024
        const val NEWLINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
