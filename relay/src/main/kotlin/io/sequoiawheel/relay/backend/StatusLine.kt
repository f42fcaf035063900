package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/** Recognizes status lines in what was received in the place of something else. */
internal object StatusLine {
    private const val VERSION = "HTTP/1."
    private const val PATTERN = "HTTP/1.# ###"
    private const val STATUS_INDEX = 9
    private const val VERSION_END = VERSION.length - 1
    private const val END_OF_VERSION = '.'.code.toByte()
    private const val BYTE_VALUES = 256
    private const val BYTE_MASK = 0xff
    private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
    private val STATUS = Regex("[1-5][0-9]{2}")

    /** How far the version may begin behind a byte that is not its last one, by that byte. */
    private val SKIPS =
        IntArray(BYTE_VALUES) { value -> VERSION_END - VERSION.dropLast(1).lastIndexOf(value.toChar()) }

    /** Length of the beginning of a status line by which it is recognized. */
    const val RECOGNIZED_CHARACTERS = PATTERN.length

    /** Whether [text] contains the beginning of a status line. */
    fun isWithin(text: String): Boolean =
        VERSION in text && find(text.toByteArray(Charsets.ISO_8859_1), from = 0) != null

    /** Returns the index of the first status line that begins in [bytes] in [from] until [limit], or null. */
    fun find(
        bytes: ByteArray,
        from: Int,
        limit: Int = bytes.size,
    ): Int? {
        var index = from
        val last = minOf(limit - 1, bytes.size - RECOGNIZED_CHARACTERS)
        val skips = SKIPS
        while (index <= last) {
            val end = bytes[index + VERSION_END]
            if (end == END_OF_VERSION && isAt(bytes, index, RECOGNIZED_CHARACTERS)) return index
            index += skips[end.toInt() and BYTE_MASK]
        }
        return null
    }

    /** Returns the status of the line that was found at [index] of [bytes]. */
    fun statusAt(
        bytes: ByteArray,
        index: Int,
    ): Int = String(bytes, index + STATUS_INDEX, RECOGNIZED_CHARACTERS - STATUS_INDEX, Charsets.ISO_8859_1).toInt()

    /** Returns the status of [line], or null if it ends before. */
    fun statusOf(line: String): Int? =
        if (line.length < RECOGNIZED_CHARACTERS) {
            null
        } else {
            line.substring(STATUS_INDEX, RECOGNIZED_CHARACTERS).toIntOrNull()
        }

    /** Returns the end of [bytes] that is a part of a status line, too short to be recognized by [find], or null. */
    fun partAtEnd(bytes: ByteArray): String? {
        val length =
            (1 until RECOGNIZED_CHARACTERS).firstOrNull { it <= bytes.size && isAt(bytes, bytes.size - it, it) }
        return length?.let { String(bytes, bytes.size - it, it, Charsets.ISO_8859_1) }
    }

    /** Whether [text] is the beginning of a status line, or begins with one. */
    fun isBeginning(text: String): Boolean =
        text.isNotEmpty() &&
            text.take(RECOGNIZED_CHARACTERS).withIndex().all { (index, character) -> fits(index, character) }

    /** Whether [text] is a status of the protocol: three digits, of which the first one names a class of statuses. */
    fun isStatus(text: String): Boolean = STATUS.matches(text)

    /**
     * Whether the status line of [head] has a known version. The remainder of a line, whose beginning was taken for the
     * end of a body, has not.
     */
    fun isValid(head: HttpResponse): Boolean = head.protocolVersion() in VERSIONS

    private fun isAt(
        bytes: ByteArray,
        index: Int,
        length: Int,
    ): Boolean {
        // Part of the search through each body, so it allocates nothing.
        var offset = 0
        while (offset < length && fits(offset, (bytes[index + offset].toInt() and BYTE_MASK).toChar())) offset++
        return offset == length
    }

    private fun fits(
        index: Int,
        character: Char,
    ): Boolean = if (PATTERN[index] == '#') character in '0'..'9' else character == PATTERN[index]
}
