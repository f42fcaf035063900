/*
 * Decides whether the body of a response is whole. A replica may break a response off, leave the connection open and
 * send another response: the bytes of that one then fill up the body, to the length or chunk that was announced, and
 * its remainder follows. The bytes inside the body do not tell this from a body that quotes a status line, so that what
 * follows the body decides: the remainder of a response, or anything else.
 *
 * What cannot be known: a body with a length whose end is the beginning of a head, where the remainder follows later
 * than the wait; a body that ends exactly with another response that names no request; and a body without a length that
 * was closed after less than a status line of another response.
 */
package io.sequoiawheel.relay.backend

import io.netty.buffer.ByteBuf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** What tells where the body of a response ends. */
internal enum class Framing { LENGTH, CHUNKS, CLOSE }

/** What a body and the bytes behind it show. */
internal enum class BodyState {
    WHOLE,

    /** Its end belongs to another response. */
    FILLED_UP,

    /** The bytes that follow, of which too few were received, decide. */
    UNDECIDED,
}

/** Collects the bytes behind the response to the request in progress. Confined to the event loop. */
internal class ResponseEnd {
    private val following = ByteArray(FOLLOWING_BYTES)
    private var followingSize = 0
    private var isReached = false
    private var isClosed = false
    private var waiter: CompletableDeferred<Unit>? = null

    /** Status of the response that filled up the body, if it is known. */
    var foreignStatus: Int? = null
        private set

    /** Forgets the bytes behind the last response, since another request is sent. */
    fun restart() {
        followingSize = 0
        isReached = false
        foreignStatus = null
    }

    /** Records that the response ends where [rest] begins. */
    fun reach(rest: ByteBuf) {
        isReached = true
        append(rest)
    }

    /** Records that [bytes] were received, of which those behind the response count. Does not consume them. */
    fun append(bytes: ByteBuf) {
        if (!isReached || !bytes.isReadable) return
        val count = minOf(bytes.readableBytes(), FOLLOWING_BYTES - followingSize)
        bytes.getBytes(bytes.readerIndex(), following, followingSize, count)
        followingSize += count
        wake()
    }

    /** Records that nothing more will be received. */
    fun close() {
        isClosed = true
        wake()
    }

    /**
     * Returns whether [body] is whole. Waits for at most [maximumMillis], and only if the body ends with the beginning
     * of a head that the next bytes would continue; without them, it is taken for whole.
     */
    suspend fun isWhole(
        body: ByteArray,
        framing: Framing,
        maximumMillis: Long,
    ): Boolean {
        var state = stateOf(body, framing)
        if (state == BodyState.UNDECIDED && !isClosed) {
            withTimeoutOrNull(minOf(maximumMillis, REMAINDER_MILLIS)) {
                while (state == BodyState.UNDECIDED && !isClosed) {
                    CompletableDeferred<Unit>().also { waiter = it }.await()
                    state = stateOf(body, framing)
                }
            }
        }
        return state != BodyState.FILLED_UP
    }

    private fun wake() {
        waiter?.complete(Unit)
        waiter = null
    }

    private fun stateOf(
        body: ByteArray,
        framing: Framing,
    ): BodyState {
        var state = BodyState.WHOLE
        for (head in EmbeddedHead.allIn(body)) {
            val headState = stateWith(head, body, framing)
            if (headState == BodyState.FILLED_UP) foreignStatus = StatusLine.statusAt(body, head.start)
            if (headState != BodyState.WHOLE) state = headState
            if (state == BodyState.FILLED_UP) return state
        }
        return if (framing == Framing.LENGTH && state == BodyState.WHOLE) stateOfTail(body) else state
    }

    /** What [body] shows if [head] is in it. */
    private fun stateWith(
        head: EmbeddedHead,
        body: ByteArray,
        framing: Framing,
    ): BodyState {
        val end = head.responseEnd
        return when {
            // Nothing of another response can follow the last chunk, nor the end of the connection.
            framing != Framing.LENGTH && head.namesRequest -> BodyState.FILLED_UP
            framing == Framing.CHUNKS || head.end == EmbeddedHead.End.OTHER_LINE -> BodyState.WHOLE
            end != null && end < body.size -> BodyState.WHOLE
            framing == Framing.CLOSE || head.namesRequest -> BodyState.FILLED_UP
            end == body.size.toLong() -> BodyState.WHOLE
            else -> stateByFollowing()
        }
    }

    /** What the bytes behind a body show that ends within the head or the body of another response. */
    private fun stateByFollowing(): BodyState {
        val text = followingText().trimStart('\r', '\n')
        return when {
            followingSize == 0 -> BodyState.UNDECIDED
            StatusLine.isBeginning(text) && text.length < StatusLine.RECOGNIZED_CHARACTERS -> BodyState.UNDECIDED
            StatusLine.isBeginning(text) -> BodyState.WHOLE
            else -> BodyState.FILLED_UP
        }
    }

    /** What a body shows that may end with a part of a status line. */
    private fun stateOfTail(body: ByteArray): BodyState {
        val part = StatusLine.partAtEnd(body) ?: return BodyState.WHOLE
        val line = part + followingText()
        return when {
            followingSize == 0 -> BodyState.UNDECIDED
            !StatusLine.isBeginning(line) -> BodyState.WHOLE
            else -> {
                foreignStatus = StatusLine.statusOf(line)
                BodyState.FILLED_UP
            }
        }
    }

    private fun followingText() = String(following, 0, followingSize, Charsets.ISO_8859_1)

    private companion object {
        /** Enough to recognize a status line behind blank lines. */
        const val FOLLOWING_BYTES = 32

        /** The segments of one response follow each other within a few round trips. */
        const val REMAINDER_MILLIS = 50L
    }
}
