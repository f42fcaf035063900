/*
 * Splits the bytes of a server-sent event stream into complete events. A replica may fail in the middle of an event;
 * callers receive complete events only, so that another replica can continue the stream at an event boundary.
 */
package io.sequoiawheel.core.relay

/**
 * One complete event, including its terminating blank line.
 *
 * @property id the value of its `id` field as a number, or null if it has none
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
)

/** Buffers bytes and returns the events that they complete. Not thread-safe. */
class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scanned = 0

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = size

    /** Appends the first [length] bytes of [source] and returns the events that they complete. */
    fun append(
        source: ByteArray,
        length: Int = source.size,
    ): List<StreamEvent> {
        ensureCapacity(size + length)
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
                        buffer[previous] == CARRIAGE_RETURN &&
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

    private fun ensureCapacity(needed: Int) {
        if (needed <= buffer.size) return
        buffer = buffer.copyOf(maxOf(needed, buffer.size * 2))
    }

    private companion object {
        const val INITIAL_BYTES = 1_024
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
