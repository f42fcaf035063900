/*
 * What a connection has carried, for the log: its number, its exchanges, the bytes that were received while no request
 * waited, and the current send. Nothing here decides anything. It costs a few assignments for each exchange; text is
 * built only when a line is written.
 */
package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.platform.Headers

/** Bytes that belong to no request: received between two requests, or behind the end of a response. */
internal class UnexpectedBytes(
    val connection: Int,
    val carried: Int,
    val lastRequestId: String?,
    val moment: Moment,
    val bytes: Int?,
    val text: String?,
) {
    /** When the bytes were received; [label] is the value in metrics and logs. */
    enum class Moment(
        val label: String,
    ) {
        /** No request was waiting. */
        IDLE("idle"),

        /** Before the exchange ended, behind the end of its response. Their number is not known. */
        BEHIND_RESPONSE("behind_response"),
    }
}

/**
 * One send on a connection, and the response that was taken for it.
 *
 * @property connection number of the connection in this process
 * @property carried exchanges that the connection had completed before
 * @property idleBytes bytes that were received on the connection while no request waited, before this send
 */
internal class ConnectionSend(
    val connection: Int,
    val carried: Int,
    val idleBytes: Int,
    private val sentAtMillis: Long,
) {
    /** Status of the head that was taken as the response, or null if none was. */
    var status: Int? = null
        private set
    var isSigned = false
        private set

    /** Whether the head named this request. */
    var isOwn = false
        private set

    /** Time from the send to the head, in milliseconds. */
    var millis: Long? = null
        private set

    /** The first responses that were skipped, in the order in which they were received. */
    var skipped: List<SkippedResponse> = emptyList()
        private set
    var skippedCount = 0
        private set

    /** Records that [head] was taken as the response. */
    fun take(
        head: HttpResponse,
        isOwn: Boolean,
        nowMillis: Long,
    ) {
        status = head.status().code()
        isSigned = head.headers().contains(Headers.SIGNATURE)
        this.isOwn = isOwn
        millis = nowMillis - sentAtMillis
    }

    /** Records that [head] was not taken as the response. */
    fun skip(
        head: HttpResponse,
        reason: UnmatchedReason,
    ) {
        skippedCount++
        if (skipped.size >= MAXIMUM_SKIPPED) return
        skipped = skipped + SkippedResponse(reason, head.status().code(), head.headers().get(Headers.REQUEST_ID))
    }

    private companion object {
        /** Skipped responses that are described; the others are counted. */
        const val MAXIMUM_SKIPPED = 4
    }
}

/** A response that was not taken for the request in progress, with the id that it named. */
internal class SkippedResponse(
    val reason: UnmatchedReason,
    val status: Int,
    val requestId: String?,
)

internal class ConnectionTrace(
    val number: Int,
) {
    /** Number of exchanges that were completed. */
    var carried = 0
        private set

    /** The send in progress, or the last one. */
    var send: ConnectionSend? = null
        private set

    /** Id of the request in progress, or of the last one. */
    var requestId: String? = null
        private set

    /** Called once with the bytes because of which the connection ends. */
    var onUnexpectedBytes: (UnexpectedBytes) -> Unit = {}
    private var isExchanging = false
    private var idleBytes = 0
    private var firstBytes: String? = null
    private var isReported = false

    /** Records that a request is sent. */
    fun begin(
        requestId: String?,
        nowMillis: Long,
    ) {
        this.requestId = requestId
        isExchanging = true
        send = ConnectionSend(number, carried, idleBytes, nowMillis)
    }

    /** Records that the exchange was completed. */
    fun end() {
        if (isExchanging) carried++
        isExchanging = false
    }

    /** Counts [received] if no request waits; its first bytes are kept as printable text. */
    fun received(received: ByteBuf) {
        if (isExchanging || !received.isReadable) return
        if (firstBytes == null) firstBytes = printable(received)
        idleBytes += received.readableBytes()
    }

    /** Reports that the connection ends because of bytes that belong to no request. */
    fun reportUnexpected(moment: UnexpectedBytes.Moment) {
        if (isReported) return
        isReported = true
        onUnexpectedBytes(
            UnexpectedBytes(number, carried, requestId, moment, idleBytes.takeIf { it > 0 }, firstBytes),
        )
    }

    private fun printable(bytes: ByteBuf): String =
        buildString {
            for (offset in 0 until minOf(bytes.readableBytes(), MAXIMUM_TEXT)) {
                val byte = bytes.getByte(bytes.readerIndex() + offset).toInt().toChar()
                append(if (byte in ' '..'~') byte else '.')
            }
        }

    private companion object {
        /** Characters of the first bytes that are logged. */
        const val MAXIMUM_TEXT = 64
    }
}
