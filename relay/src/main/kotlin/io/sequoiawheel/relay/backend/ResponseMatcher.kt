package io.sequoiawheel.relay.backend

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.sequoiawheel.platform.Headers

/** Tells which request of a connection a response belongs to, by the id that it names. */
internal class ResponseMatcher {
    private val sentIds = SentRequestIds(MAXIMUM_IDS)
    private val headIds by lazy(LazyThreadSafetyMode.NONE) { SentRequestIds(MAXIMUM_IDS) }
    private var isHead = false

    /** What the first final response to the request in progress states, or null if none was received. */
    private var answered: Evidence? = null

    /** The id of the request in progress, or of the last one; null if it has none. */
    var requestId: String? = null
        private set

    /** Whether the request in progress, or the last one, received several responses that state different results. */
    var isContradicted = false
        private set

    /** Records that [request] is sent. */
    fun begin(request: HttpRequest) {
        answered = null
        isContradicted = false
        isHead = request.method() == HttpMethod.HEAD
        requestId = request.headers().get(Headers.REQUEST_ID)?.also(sentIds::add)
        if (isHead) requestId?.let(headIds::add)
    }

    /** Whether [requestId] was sent on the connection. */
    fun wasSent(requestId: String): Boolean = requestId in sentIds

    /** Returns the id of the request that [head] names, or null if it names none or several. */
    fun namedRequest(head: HttpMessage): String? = head.headers().getAll(Headers.REQUEST_ID).singleOrNull()

    /** Whether [head] responds to a `HEAD` request, in progress or earlier. */
    fun answersHead(head: HttpMessage): Boolean {
        val echoedId = namedRequest(head)
        val isOwn = requestId == null || echoedId == requestId
        return if (isOwn) isHead else echoedId != null && echoedId in headIds
    }

    /** Returns why [head] does not respond to the request in progress, or null if it does. */
    fun unmatchedReason(head: HttpResponse): UnmatchedReason? {
        val echoedId = namedRequest(head)
        return when {
            requestId != null && echoedId == null -> UnmatchedReason.NO_ID
            requestId != null && echoedId != requestId -> UnmatchedReason.OTHER_ID
            answered != null -> UnmatchedReason.REPEATED
            else -> null
        }
    }

    /** Records what [head] states, which was received for the reason [unmatched]. */
    fun record(
        head: HttpResponse,
        unmatched: UnmatchedReason?,
    ) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        val evidence =
            Evidence(
                head.status().code(),
                isSigned = head.headers().contains(Headers.SIGNATURE),
                isNotRun = head.headers().contains(Headers.NOT_RUN),
            )
        if (unmatched == null) answered = evidence
        if (unmatched == UnmatchedReason.REPEATED && evidence != answered) isContradicted = true
    }

    /** What a response states of the execution of its request. */
    private data class Evidence(
        val status: Int,
        val isSigned: Boolean,
        val isNotRun: Boolean,
    )

    private companion object {
        /** Bounds the ids of a connection to 1 KiB. */
        const val MAXIMUM_IDS = 256
    }
}
