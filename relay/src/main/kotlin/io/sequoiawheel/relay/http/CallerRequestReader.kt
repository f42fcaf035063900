package io.sequoiawheel.relay.http

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.sequoiawheel.core.memory.ProgressTimer
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.relay.backend.InboundQueue
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Thrown for a request that is rejected while it is being read. */
internal class UnreadableRequestException(
    val code: ResultCode,
    val status: HttpResponseStatus,
    message: String,
) : IOException(message)

/** Reads the requests of one connection, within the limits on their size, time and memory. */
internal class CallerRequestReader(
    private val inbound: InboundQueue,
    private val service: CallerService,
    private val connections: CallerConnections,
    private val account: CallerAccount,
    private val sendContinue: () -> Unit,
) {
    private var headSinceMillis: Long? = null
    private var refusal: RefusalReason? = null

    private var bodySinceMillis: Long? = null

    /** When the head or the body that is being read began to arrive, or null if none is. */
    val readingSinceMillis: Long? get() = headSinceMillis ?: bodySinceMillis

    /** Called when bytes of an incomplete head have arrived. */
    fun onPartialHead() {
        if (readingSinceMillis != null) return
        headSinceMillis = service.clock.nowMillis()
        inbound.wake()
    }

    /** Refuses the request that is being read, or ends the wait for one. */
    fun refuse(reason: RefusalReason) {
        if (refusal != null) return
        refusal = reason
        inbound.wake()
    }

    /**
     * Returns the head of the next request, or null if the connection should end because it is idle. The timeout covers
     * only the wait, since cancelling a receipt may lose the message.
     */
    suspend fun receiveHead(): HttpRequest? {
        val idleSinceMillis = service.clock.nowMillis()
        headSinceMillis = null
        while (true) {
            if (!connections.isClosing) awaitHead(idleSinceMillis)
            throwIfRefused()
            if (inbound.isIdle) return null
            val message = inbound.receive()
            if (message is HttpRequest) {
                headSinceMillis = null
                return message
            }
            ReferenceCountUtil.release(message)
        }
    }

    /** Returns when a message or the end arrived, when the connection was idle too long, or at the shutdown. */
    private suspend fun awaitHead(idleSinceMillis: Long) {
        while (inbound.isIdle && refusal == null && !connections.isClosing) {
            val started = headSinceMillis
            val limits = service.limits
            val endMillis =
                if (started == null) {
                    idleSinceMillis + limits.idleTimeoutMillis
                } else {
                    started + limits.headerTimeoutMillis
                }
            val left = endMillis - service.clock.nowMillis()
            if (left <= 0) {
                if (started != null) refuse(RefusalReason.SLOW_HEAD)
                return
            }
            withTimeoutOrNull(left) { inbound.awaitMessage() }
        }
    }

    /** Returns the request with this [head], or throws for one that is rejected or refused. */
    suspend fun readRequest(head: HttpRequest): CallerRequest {
        bodySinceMillis = service.clock.nowMillis()
        try {
            return read(head)
        } finally {
            bodySinceMillis = null
        }
    }

    private suspend fun read(head: HttpRequest): CallerRequest {
        val receivedAtMillis = service.clock.nowMillis()
        rejectMalformed(head)
        val limits = service.limits
        val announcedBytes = HttpUtil.getContentLength(head, -1L)
        if (announcedBytes > limits.bodyBytes) throw bodyTooLarge(limits)
        hold(CallerMemoryCost.of(head).toLong())
        if (HttpUtil.is100ContinueExpected(head)) sendContinue()
        val body = readBody(announcedBytes.takeIf { it >= 0 }?.toInt(), receivedAtMillis, limits)
        return CallerRequest(
            head.method(),
            head.uri(),
            head.headers(),
            body,
            receivedAtMillis,
            HttpUtil.isKeepAlive(head),
        )
    }

    private suspend fun readBody(
        announcedBytes: Int?,
        startMillis: Long,
        limits: ConnectionLimits,
    ): CallerBody {
        connections.memory.raiseTotal(LARGEST_BODY_FACTOR * limits.bodyBytes)
        val timer = ProgressTimer(connections.limits.bodyRule(limits.idleTimeoutMillis), startMillis)
        val body = CallerBodyBuilder(announcedBytes, account::tryHoldRequest)
        while (true) {
            val message = nextPart(timer)
            val content = message as? HttpContent ?: throw malformed("a request started within the body of another")
            val length = content.content().readableBytes()
            try {
                if (content.decoderResult().isFailure) throw malformed("malformed body")
                if (body.size + length.toLong() > limits.bodyBytes) throw bodyTooLarge(limits)
                if (!body.append(content.content())) throw CallerRefusedException(RefusalReason.MEMORY)
            } finally {
                content.release()
            }
            timer.record(length.toLong(), service.clock.nowMillis())
            if (content is LastHttpContent) return body.build()
        }
    }

    private suspend fun nextPart(timer: ProgressTimer): HttpObject {
        while (inbound.isIdle) {
            throwIfRefused()
            val left = timer.remainingMillis(service.clock.nowMillis())
            if (left == 0L) throw CallerRefusedException(RefusalReason.SLOW_BODY)
            withTimeoutOrNull(left) { inbound.awaitMessage() }
        }
        throwIfRefused()
        return inbound.receive()
    }

    private fun hold(bytes: Long) {
        if (!account.tryHoldRequest(bytes)) throw CallerRefusedException(RefusalReason.MEMORY)
    }

    private fun throwIfRefused() {
        refusal?.let { throw CallerRefusedException(it) }
    }

    private fun rejectMalformed(head: HttpRequest) {
        if (head.decoderResult().isFailure) throw undecodable(head.decoderResult().cause())
        val encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isEncodingKnown = encodings.all { it.trim().equals("chunked", ignoreCase = true) } && encodings.size <= 1
        val detail =
            when {
                !isEncodingKnown -> "unsupported transfer encoding"
                head.headers().getAll(HttpHeaderNames.HOST).size != 1 -> "exactly one Host header is required"
                !head.uri().startsWith("/") -> "the request target is not a path"
                else -> return
            }
        throw malformed(detail)
    }

    private fun undecodable(cause: Throwable?): UnreadableRequestException {
        if (cause !is TooLongFrameException) return malformed("malformed head: ${cause?.message}")
        return UnreadableRequestException(
            ResultCode.BODY_TOO_LARGE,
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request head is too large",
        )
    }

    private fun malformed(detail: String) =
        UnreadableRequestException(ResultCode.INVALID_REQUEST, HttpResponseStatus.BAD_REQUEST, detail)

    private fun bodyTooLarge(limits: ConnectionLimits) =
        UnreadableRequestException(
            ResultCode.BODY_TOO_LARGE,
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            "the body exceeds ${limits.bodyBytes} bytes",
        )

    private companion object {
        /** The last segment of a body, its head and what is queued may occupy as much as half of the body besides. */
        const val LARGEST_BODY_FACTOR = 2L
    }
}
