package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/** Recognizes status lines in what was received in the place of something else. */
internal object StatusLine {
    private const val VERSION = "HTTP/1."
    private val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""")
    private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)
    private val STATUS = Regex("[1-5][0-9]{2}")

    /** Length of the beginning of a status line by which it is recognized. */
    const val RECOGNIZED_CHARACTERS = 12

    /** Whether [text] contains the beginning of a status line. */
    fun isWithin(text: String): Boolean = VERSION in text && STATUS_LINE.containsMatchIn(text)

    /** Whether [text] is a status of the protocol: three digits, of which the first one names a class of statuses. */
    fun isStatus(text: String): Boolean = STATUS.matches(text)

    /**
     * Whether the status line of [head] has a known version. The remainder of a line, whose beginning was taken for the
     * end of a body, has not.
     */
    fun isValid(head: HttpResponse): Boolean = head.protocolVersion() in VERSIONS
}
