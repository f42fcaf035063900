/*
 * Splits the bytes of a server-sent event stream into complete events. A replica may fail in the middle of an event;
 * callers receive complete events only, so that another replica can continue the stream at an event boundary.
 */
package io.sequoiawheel.core.relay

/**
 * One complete event, including its terminating blank line.
 *
 * @property id the value of its `id` field as a number, or null if it has none or it is not a number
 * @property hasId whether it has an `id` field
 * @property isWellFormed whether it consists of comments and fields, with one `id` at most
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: Long?,
    val hasId: Boolean,
    val isWellFormed: Boolean,
)

/**
 * Buffers bytes and returns the events that they complete. Not thread-safe.
 *
 * @param keepsByteOrderMark whether a byte order mark at the start of the stream is part of its first event; a mark is
 * valid at the start of a response only
 */
class EventSplitter(
    private val keepsByteOrderMark: Boolean = true,
) {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scanned = 0
    private var isFirst = true

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
        var start = 0
        while (true) {
            val end = findEnd(start) ?: break
            events += eventOf(start, end)
            isFirst = false
            start = end
            scanned = end
        }
        // Once for all events: moving the rest for each would take quadratic time for many short events.
        if (start > 0) {
            buffer.copyInto(buffer, 0, start, size)
            size -= start
            scanned -= start
        }
        return events
    }

    /** Returns the index after the blank line that ends the event at [start], or null. */
    private fun findEnd(start: Int): Int? {
        var index = scanned
        while (index < size) {
            if (buffer[index] == NEWLINE) {
                val previous = index - 1
                val ends =
                    previous >= start &&
                        buffer[previous] == NEWLINE ||
                        previous >= start + 1 &&
                        buffer[previous] == CARRIAGE_RETURN &&
                        buffer[previous - 1] == NEWLINE
                if (ends) return index + 1
            }
            index++
        }
        scanned = maxOf(start, size - 1)
        return null
    }

    private fun eventOf(
        eventStart: Int,
        end: Int,
    ): StreamEvent {
        val hasMark = isFirst && startsWith(BYTE_ORDER_MARK, eventStart, end)
        val markEnd = if (hasMark) eventStart + BYTE_ORDER_MARK.size else eventStart
        val ids = ArrayList<String>(1)
        var isWellFormed = true
        var start = markEnd
        while (start < end) {
            var lineEnd = start
            while (buffer[lineEnd] != NEWLINE) lineEnd++
            val length = if (lineEnd > start && buffer[lineEnd - 1] == CARRIAGE_RETURN) lineEnd - 1 else lineEnd
            isWellFormed = isWellFormed && isWellFormed(start, length)
            if (startsWith(ID_FIELD, start, length)) ids += String(buffer, start, length - start, Charsets.UTF_8)
            start = lineEnd + 1
        }
        return StreamEvent(
            buffer.copyOfRange(if (keepsByteOrderMark) eventStart else markEnd, end),
            ids
                .firstOrNull()
                ?.substringAfter(':')
                ?.trim()
                ?.toLongOrNull(),
            hasId = ids.isNotEmpty(),
            isWellFormed = isWellFormed && ids.size <= 1,
        )
    }

    /**
     * Whether a line is a comment or a field, whose name consists of ASCII letters, digits, hyphens and underscores. No
     * status line of a response, HTML or JSON does.
     */
    private fun isWellFormed(
        start: Int,
        end: Int,
    ): Boolean {
        var index = start
        while (index < end && buffer[index] != COLON) {
            if (!isNameCharacter(buffer[index++])) return false
        }
        return (index until end).none { buffer[it] == CARRIAGE_RETURN }
    }

    private fun isNameCharacter(byte: Byte) = byte >= 0 && IS_NAME_CHARACTER[byte.toInt()]

    private fun startsWith(
        prefix: ByteArray,
        start: Int,
        end: Int,
    ): Boolean = end - start >= prefix.size && prefix.indices.all { buffer[start + it] == prefix[it] }

    private fun ensureCapacity(needed: Int) {
        if (needed <= buffer.size) return
        buffer = buffer.copyOf(maxOf(needed, buffer.size * 2))
    }

    private companion object {
        val NAME_CHARACTERS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + '-' + '_').toSet()
        val IS_NAME_CHARACTER = BooleanArray(ASCII_CHARACTERS) { it.toChar() in NAME_CHARACTERS }
        const val ASCII_CHARACTERS = 128
        const val INITIAL_BYTES = 1_024
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val COLON = ':'.code.toByte()
        val ID_FIELD = "id:".toByteArray()
        val BYTE_ORDER_MARK = "\uFEFF".toByteArray()
    }
}
