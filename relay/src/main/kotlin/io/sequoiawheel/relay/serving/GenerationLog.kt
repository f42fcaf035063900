package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Delivery
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.filter.Exchange

/** Why an attempt failed. The lower-case names are the values of a metric's label. */
internal enum class FailureCause { CONNECTION, INVALID_STREAM, ERROR_RESPONSE, REFUSAL }

/** The failure of an attempt, with the [detail] for the log. */
internal class AttemptFailure(
    val cause: FailureCause,
    val detail: String,
)

/** Logs what happens to one generation. */
internal class GenerationLog(
    private val context: RelayContext,
    private val exchange: Exchange,
    private val delivery: Delivery,
) {
    private val timing = DeliveryTiming(context.clock, exchange.request.receivedAtMillis)
    private var moveCount = 0

    /** Records the delivery of events, the last numbered one with [id]. */
    fun recordDelivery(id: Long?) = timing.recordDelivery(id)

    /** Logs that the stream continues on [replica]. */
    fun recordMove(replica: Replica) {
        moveCount++
        val reasons = MOVE_LOG_FIELDS.associateWith { exchange.logFields.remove(it) }
        context.log.request("generation moved", position(replica) + reasons)
        context.metrics.count("moves", "continued")
    }

    /** Logs that the generation is to leave [replica] and stays there, since its run could not be stopped. */
    fun recordHeldMove(
        replica: Replica,
        waitMillis: Long,
    ) {
        context.log.request(
            "generation stays at its replica",
            position(replica) +
                mapOf("waitMillis" to waitMillis, "limitPerSecond" to replica.requestLimit.perSecond),
        )
        context.metrics.count("moves", "held")
    }

    /** Logs the failure of an attempt, if [signal] reports one, after the response has begun. */
    fun recordFailure(
        signal: GenerationSignal,
        isSuccessor: Boolean,
    ) {
        causeOf(signal)?.let(exchange.sendLog::resendBecause)
        val failure = signal.failure ?: return
        if (!exchange.response.isStarted) return
        exchange.interruption = failure.cause.name
        val role = if (isSuccessor) "successor" else "current"
        context.log.request(
            "generation attempt failed",
            position(signal.attempt.replica) +
                mapOf("role" to role, "cause" to failure.cause.name, "detail" to failure.detail),
        )
    }

    private fun causeOf(signal: GenerationSignal): String? =
        when (signal) {
            is GenerationSignal.ReplicaLeaving -> "${signal.attempt.replica} is leaving: ${signal.reason}"
            is GenerationSignal.CopyReady -> "copied from ${signal.attempt.replica}"
            is GenerationSignal.CopyFailed -> "copy failed: ${signal.detail}"
            else -> signal.failure?.let { "${signal.attempt.replica}: ${it.cause}, ${it.detail}" }
        }

    /** Sets the fields that describe the delivery for the log line of the request's end, however it ended. */
    fun recordEnd(replica: Replica?) {
        exchange.logFields["moves"] = moveCount.takeIf { it > 0 }
        exchange.logFields["parts"] = exchange.sharedParts.joinToString(",").ifEmpty { null }
        exchange.logFields["events"] = delivery.delivered
        exchange.logFields["lastEvent"] = delivery.lastId
        exchange.logFields += timing.logFields()
        exchange.logFields["replica"] = replica.toString()
    }

    private fun position(replica: Replica) =
        mapOf(
            "request" to exchange.requestId,
            "replica" to replica.toString(),
            "lastEvent" to delivery.lastId,
        )

    private companion object {
        /** Log fields that explain a move. They are removed once logged, so as not to explain a later end. */
        val MOVE_LOG_FIELDS = listOf("left", "lostReplica", "backup", "copyFailed", "takeOverFailed")
    }
}
