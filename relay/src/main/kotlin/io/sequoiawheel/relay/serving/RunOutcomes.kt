package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.quarantine.Incarnation
import io.sequoiawheel.core.quarantine.PartQuarantine
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics

/**
 * Records which runs were lost with the connection to their replica and which went on, as evidence against and for the
 * parts of their prompts, and how fast they went. Confined to the event loop.
 */
internal class RunOutcomes(
    private val clock: Clock,
    private val quarantine: PartQuarantine,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    /** Records the speed of the replicas. */
    val pace = PaceObserver(clock, log, metrics)

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
        quarantine.recordLoss(replica.incarnation, exchange.sharedParts, begunMillis)
    }

    /**
     * Records that the response of [replica], which began at [begunMillis], is complete. Without framing that says
     * nothing for its parts, since a crash may end the connection in the same way.
     */
    fun recordCompletion(
        exchange: Exchange,
        replica: Replica,
        begunMillis: Long,
        isFramed: Boolean,
    ) {
        if (!isFramed) return
        recordLife(replica)
        quarantine.recordSurvival(exchange.sharedParts, begunMillis)
    }

    /** Records that the response of [replica], which began at [begunMillis], goes on. */
    fun recordProgress(
        exchange: Exchange,
        replica: Replica,
        begunMillis: Long,
    ) {
        recordLife(replica)
        if (exchange.isProvenSound || clock.nowMillis() - begunMillis < PartQuarantine.SURVIVAL_MILLIS) return
        exchange.isProvenSound = true
        quarantine.recordSurvival(exchange.sharedParts, begunMillis)
    }

    /** Records that something was received from [replica]. */
    fun recordLife(replica: Replica) {
        if (quarantine.hasEvidence) quarantine.recordLife(replica.incarnation)
    }

    /** Whether one more attempt at this request might end one more replica. */
    fun isSuspected(exchange: Exchange): Boolean {
        if (exchange.isProvenSound) return false
        val parts = exchange.sharedParts
        return quarantine.blocking(parts) != null || quarantine.isSuspected(parts)
    }
}

/** The incarnation of the replica, as other instances know it. */
private val Replica.incarnation: Incarnation
    get() = Incarnation(entry.id.value, entry.startedAtMillis)
