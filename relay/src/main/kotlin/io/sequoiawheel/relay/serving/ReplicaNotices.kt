package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.platform.ReplicaNotice
import io.sequoiawheel.platform.RequestLimitNotice
import io.sequoiawheel.relay.backend.ResponseHead
import io.sequoiawheel.relay.backend.UnexpectedBytes
import io.sequoiawheel.relay.backend.UnmatchedReason
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/** Applies the state that replicas report in their response headers. Confined to the event loop. */
internal class ReplicaNotices(
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
    private val outcomes: RunOutcomes,
) {
    /** Handles the head of any response received from [replica], including responses that no request waits for. */
    fun onResponseHead(
        replica: Replica,
        received: ResponseHead,
    ) {
        val head = received.response
        val isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (!isInformational) received.unmatched?.let { recordUnmatched(replica, received, it) }
        val respondingId = head.headers().get(Headers.REPLICA)
        if (head.isMisdirected || respondingId != null && respondingId != replica.entry.id.value) return
        replica.markReachable()
        outcomes.recordLife(replica)
        val notice = ReplicaNotice.decode(head.status().code()) { head.headers().getAll(it) }
        notice.coldForMillis?.let(replica::coldFor)
        outcomes.pace.onLoad(replica, notice.load)
        if (notice.isLeaving) markLeaving(replica, head)
        notice.invalidRetryAfter?.let { value ->
            log.stateChange(
                "replica sent an invalid pause in Retry-After",
                mapOf(
                    "replica" to replica.toString(),
                    "value" to value,
                ),
            )
        }
        notice.pauseMillis?.let { pause(replica, head, it) }
        if (!isInformational) recordRequestLimit(replica, received, notice.requestLimit)
    }

    private fun recordUnmatched(
        replica: Replica,
        received: ResponseHead,
        reason: UnmatchedReason,
    ) {
        val head = received.response
        metrics.count("replica.responses.unmatched", reason.label)
        log.request(
            "response belongs to no request",
            mapOf(
                "request" to head.headers().get(Headers.REQUEST_ID),
                "replica" to replica.toString(),
                "status" to head.status().code(),
                "reason" to reason.label,
                "connection" to received.connection.number,
                "carried" to received.connection.carried,
                "lastRequest" to received.connection.requestId,
            ),
        )
    }

    /** Logs and counts bytes that [replica] sent while no request waited for them. */
    fun onUnexpectedBytes(
        replica: Replica,
        received: UnexpectedBytes,
    ) {
        metrics.count("replica.bytes.unexpected", received.moment.label)
        log.dependency(
            "bytes without a request",
            mapOf(
                "replica" to replica.toString(),
                "connection" to received.connection,
                "carried" to received.carried,
                "lastRequest" to received.lastRequestId,
                "moment" to received.moment.label,
                "bytes" to received.bytes,
                "text" to received.text,
            ),
        )
    }

    private fun recordRequestLimit(
        replica: Replica,
        received: ResponseHead,
        notice: RequestLimitNotice,
    ) {
        val before = replica.requestLimit.perSecond
        when (notice) {
            is RequestLimitNotice.Limited -> replica.requestLimit.name(notice.perSecond)
            is RequestLimitNotice.None -> received.sentAtMillis?.let(replica.requestLimit::omit)
            is RequestLimitNotice.Unreadable ->
                log.stateChange(
                    "replica named an unreadable request limit",
                    mapOf("replica" to replica.toString(), "value" to notice.value, "perSecond" to before),
                )
        }
        val after = replica.requestLimit.perSecond
        if (after == before) return
        metrics.count("replica.notices", if (after == null) "unlimited" else "limited")
        log.stateChange(
            "request limit of a replica changed",
            mapOf(
                "replica" to replica.toString(),
                "perSecond" to after,
                "previousPerSecond" to before,
                "source" to "answer",
                "request" to received.response.headers().get(Headers.REQUEST_ID),
            ),
        )
    }

    private fun markLeaving(
        replica: Replica,
        head: HttpResponse,
    ) {
        if (replica.isLeaving) return
        replica.leave(LeaveReason.ANNOUNCED)
        metrics.count("replica.notices", "leaving")
        log.stateChange(
            "replica announced that it is leaving",
            mapOf(
                "replica" to replica.toString(),
                "source" to "answer",
                "status" to head.status().code(),
                "request" to head.headers().get(Headers.REQUEST_ID),
            ),
        )
    }

    private fun pause(
        replica: Replica,
        head: HttpResponse,
        millis: Long,
    ) {
        if (millis > replica.remainingPauseMillis) {
            metrics.count("replica.notices", "quiet")
            log.stateChange(
                "replica requested a pause",
                mapOf(
                    "replica" to replica.toString(),
                    "milliseconds" to millis,
                    "request" to head.headers().get(Headers.REQUEST_ID),
                ),
            )
        }
        replica.pauseFor(millis)
    }
}
