/*
 * The head of a response inside the bytes of a body or an event. A body holds one if it quotes it, or if it was broken
 * off and the next response on the connection was taken for its rest.
 */
package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.sequoiawheel.platform.Headers

/**
 * A head, of which a part may be missing.
 *
 * @property start index of its status line
 * @property end where it ends
 * @property namesRequest whether it names the request that it responds to, as each response of a replica does
 * @property responseEnd index after the body that belongs to it, or null if that is not stated
 */
internal class EmbeddedHead private constructor(
    val start: Int,
    val end: End,
    val namesRequest: Boolean,
    val responseEnd: Long?,
) {
    /** Where the bytes of a head end. */
    enum class End {
        /** At its blank line. */
        BLANK_LINE,

        /** At the end of the bytes that hold it, so that it may go on behind them. */
        BYTES,

        /** At a line that is no field of a head. */
        OTHER_LINE,
    }

    /** Reads the lines of the head that begins at [start]. A head that holds another status line is none. */
    private class Reader(
        private val bytes: ByteArray,
        private val start: Int,
    ) {
        private val limit = minOf(bytes.size, start + MAXIMUM_HEAD_BYTES)
        private val nextStatusLine = StatusLine.find(bytes, start + 1, limit)
        private var namesRequest = false
        private var contentLength: Long? = null

        fun read(): EmbeddedHead {
            var lineStart = endOfLine(start)?.plus(1) ?: return unfinished(limit)
            while (true) {
                val lineEnd = endOfLine(lineStart) ?: return unfinished(lineStart)
                val line = text(lineStart, lineEnd).removeSuffix("\r")
                if (line.isEmpty()) return complete(lineEnd + 1)
                if (!isField(line)) return head(End.OTHER_LINE)
                add(line)
                lineStart = lineEnd + 1
            }
        }

        private fun endOfLine(from: Int): Int? {
            var index = from
            val end = nextStatusLine ?: limit
            while (index < end) {
                if (bytes[index] == NEWLINE) return index
                index++
            }
            return null
        }

        private fun text(
            from: Int,
            to: Int,
        ) = String(bytes, from, to - from, Charsets.ISO_8859_1)

        private fun add(line: String) {
            val name = line.substringBefore(':')
            if (name.equals(Headers.REQUEST_ID, ignoreCase = true)) namesRequest = true
            if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
                contentLength = line.substringAfter(':').trim().toLongOrNull()
            }
        }

        private fun complete(end: Int): EmbeddedHead {
            val status = StatusLine.statusAt(bytes, start)
            val isInformational = HttpStatusClass.valueOf(status) == HttpStatusClass.INFORMATIONAL
            val length = if (status in BODILESS || isInformational) 0 else contentLength
            return head(End.BLANK_LINE, length?.let { end + it })
        }

        /** Returns the head whose last line, from [lineStart], has no end. */
        private fun unfinished(lineStart: Int): EmbeddedHead {
            val isCut = nextStatusLine == null && limit == bytes.size
            val mayGoOn = isCut && isName(text(lineStart, limit).removeSuffix("\r").substringBefore(':'))
            return head(if (mayGoOn) End.BYTES else End.OTHER_LINE)
        }

        private fun head(
            end: End,
            responseEnd: Long? = null,
        ) = EmbeddedHead(start, end, namesRequest, responseEnd)

        private fun isField(line: String): Boolean {
            val name = line.substringBefore(':')
            return name.isNotEmpty() && name.length < line.length && isName(name)
        }

        private fun isName(text: String) = text.all { it in NAME_CHARACTERS }
    }

    companion object {
        /** More than the decoder accepts of a head. */
        private const val MAXIMUM_HEAD_BYTES = 16_384

        private const val NEWLINE = '\n'.code.toByte()
        private val NAME_CHARACTERS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + "!#$%&'*+-.^_`|~".toList()).toSet()
        private val BODILESS = setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())

        /** Returns the heads in [bytes], in their order, each of which begins with a status line. */
        fun allIn(bytes: ByteArray): Sequence<EmbeddedHead> {
            // Most bodies and events hold none.
            val first = StatusLine.find(bytes, from = 0) ?: return emptySequence()
            return generateSequence(first) { StatusLine.find(bytes, it + 1) }.map { Reader(bytes, it).read() }
        }
    }
}
