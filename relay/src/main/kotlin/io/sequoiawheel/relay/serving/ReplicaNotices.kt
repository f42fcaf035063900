package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.platform.ReplicaNotice
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/** Applies what replicas say of themselves in the heads of their answers. Confined to the event loop. */
internal class ReplicaNotices(
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    /** Takes the head of any answer that came on a connection to [replica], also of one that nobody waits for. */
    fun heard(
        replica: Replica,
        head: HttpResponse,
    ) {
        val answering = head.headers().get(Headers.REPLICA)
        if (head.isMisdirected || answering != null && answering != replica.entry.id.value) return
        replica.reached()
        val notice = ReplicaNotice.decode(head.status().code()) { head.headers().getAll(it) }
        notice.coldForMillis?.let(replica::coldFor)
        if (notice.isLeaving) leave(replica, head)
        notice.invalidRetryAfter?.let { value ->
            log.belief("wait of a replica unreadable", mapOf("replica" to replica.toString(), "value" to value))
        }
        notice.pauseMillis?.let { quietFor(replica, head, it) }
    }

    private fun leave(
        replica: Replica,
        head: HttpResponse,
    ) {
        if (replica.isLeaving) return
        replica.leave(LeaveReason.ANNOUNCED)
        metrics.count("replica.notices", "leaving")
        log.belief(
            "replica announced its leaving",
            mapOf(
                "replica" to replica.toString(),
                "source" to "answer",
                "status" to head.status().code(),
                "request" to head.headers().get(Headers.REQUEST_ID),
            ),
        )
    }

    private fun quietFor(
        replica: Replica,
        head: HttpResponse,
        millis: Long,
    ) {
        if (millis > replica.quietMillis) {
            metrics.count("replica.notices", "quiet")
            log.belief(
                "replica asked for quiet",
                mapOf(
                    "replica" to replica.toString(),
                    "milliseconds" to millis,
                    "request" to head.headers().get(Headers.REQUEST_ID),
                ),
            )
        }
        replica.quietFor(millis)
    }
}
