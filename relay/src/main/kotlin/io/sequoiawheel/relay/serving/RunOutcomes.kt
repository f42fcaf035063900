package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/** Records runs that were lost with the connection to their replica. Confined to the event loop. */
internal class RunOutcomes(
    private val clock: Clock,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    /**
     * Records that the connection to [replica] ended after the request was sent and before its response was complete.
     *
     * @param begunMillis when the response began, or null if it had not
     */
    fun recordLoss(
        exchange: Exchange,
        replica: Replica,
        begunMillis: Long?,
    ) {
        metrics.count("runs.lost", if (begunMillis == null) "waiting" else "writing")
        log.request(
            "run lost with its connection",
            mapOf(
                "request" to exchange.requestId,
                "replica" to replica.toString(),
                "replicaStartedAt" to replica.entry.startedAtMillis,
                "parts" to exchange.sharedParts.joinToString(","),
                "writingMilliseconds" to begunMillis?.let { clock.nowMillis() - it },
                "sends" to exchange.sends,
            ),
        )
    }
}
