/*
 * Relays calls to plain services. Each response is buffered completely before it is forwarded, so that a repeatable
 * call whose response is truncated can be retried on another replica. A call that is not repeatable is sent again only
 * if it is certain that it has not run.
 */
package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaPlacement
import io.sequoiawheel.core.rollout.RolloutObservation
import io.sequoiawheel.relay.backend.ConnectFailedException
import io.sequoiawheel.relay.backend.ConnectionEndedException
import io.sequoiawheel.relay.backend.ConnectionLease
import io.sequoiawheel.relay.backend.ResponseReservation
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** The result of one attempt to run a call on a replica. */
internal sealed interface AttemptResult {
    class Responded(
        val head: HttpResponse,
        val body: ByteArray,
    ) : AttemptResult

    /**
     * The call certainly did not run.
     *
     * @property isReusedConnection whether the connection had carried another request before
     */
    class NotRun(
        val proof: NotRunProof,
        val detail: String,
        val isReusedConnection: Boolean = false,
    ) : AttemptResult

    /** The replica stopped accepting requests before the call was sent, so nothing was sent. */
    data object ReplicaUnavailable : AttemptResult

    /** The call may have run, but no valid response arrived. */
    class Unknown(
        val detail: String,
    ) : AttemptResult
}

internal class CallRelay(
    private val context: RelayContext,
) {
    private val requests = BackendRequests(context.clock)

    /** Answers the call, no later than its deadline. */
    suspend fun relay(
        exchange: Exchange,
        service: RelayService,
    ) {
        val call = Call(exchange, service)
        try {
            relay(exchange, call)
        } finally {
            call.reservation.release()
        }
    }

    private suspend fun relay(
        exchange: Exchange,
        call: Call,
    ) {
        val remaining = exchange.deadlineMillis - context.clock.nowMillis()
        val completed = withTimeoutOrNull(remaining) { call.run() }
        if (completed != null || exchange.response.isStarted || call.deliverEarlierResponse()) return
        if (exchange.mayHaveRun) {
            exchange.fail(ResultCode.DEADLINE_AFTER_DISPATCH, "no response before the deadline")
        } else {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.DEADLINE_BEFORE_DISPATCH,
                "no replica accepted the call before the deadline",
                ReplicaPlacement.FULL_CALLS_MILLIS,
            )
        }
    }

    /** State of one call across its attempts. */
    private inner class Call(
        private val exchange: Exchange,
        private val service: RelayService,
    ) {
        private val route = checkNotNull(exchange.route)

        /** The memory of the responses, until the caller has read the one that is delivered. */
        val reservation = ResponseReservation(exchange.response.accounts.bodies)
        private val triedReplicas = LinkedHashSet<Replica>()
        private var runs = 0
        private var refusals = 0
        private var earlierResponse: AttemptResult.Responded? = null
        private var retryAfterMillis = ReplicaPlacement.FULL_CALLS_MILLIS

        suspend fun run() {
            while (true) {
                val part = context.refusedPart(exchange)
                if (part != null) {
                    if (!deliverEarlierResponse()) exchange.refuseQuarantined(part)
                    return
                }
                val placement = place()
                if (placement !is Placement.Assigned) {
                    retryAfterMillis =
                        (placement as? Placement.Deferred)?.retryAfterMillis ?: ReplicaPlacement.FULL_CALLS_MILLIS
                    giveUp(
                        AttemptResult.NotRun(NotRunProof.NOTHING_SENT, "no replica of ${service.name} accepts calls"),
                    )
                    return
                }
                val replica = placement.replica
                if (triedReplicas.isEmpty()) context.retryBudget(service.name).recordRequest()
                triedReplicas += replica
                val result = attempt(replica)
                if (handleResult(replica, result)) return
                exchange.sendLog.resendBecause(describe(result))
            }
        }

        /** Delivers the error response of an earlier attempt. Returns false if there is none. */
        suspend fun deliverEarlierResponse(): Boolean {
            deliver(earlierResponse ?: return false)
            return true
        }

        /** Answers the caller if [result] is final. Returns false if the call is to be attempted again. */
        private suspend fun handleResult(
            replica: Replica,
            result: AttemptResult,
        ): Boolean {
            when (result) {
                is AttemptResult.Responded -> {
                    runs++
                    val failed = result.head.status().code() >= SERVER_ERROR
                    if (failed && mayRetry()) {
                        earlierResponse = result
                        return false
                    }
                    deliver(result)
                }

                is AttemptResult.NotRun -> {
                    if (result.proof == NotRunProof.REFUSED_BY_REPLICA && !mayRetryRefused()) {
                        giveUp(result)
                    } else if (refusals++ < MAXIMUM_REFUSED_RETRIES) {
                        if (result.proof == NotRunProof.REFUSED_BY_REPLICA) {
                            context.logResend(exchange, replica, result.detail, result.isReusedConnection)
                        }
                        return false
                    } else {
                        giveUp(result)
                    }
                }

                is AttemptResult.ReplicaUnavailable -> return false

                is AttemptResult.Unknown -> {
                    runs++
                    if (mayRetry()) return false
                    giveUp(result)
                }
            }
            return true
        }

        private fun mayRetry(): Boolean =
            route.isRepeatable &&
                runs < route.maximumAttempts &&
                hasTimeLeft() &&
                !context.outcomes.isSuspected(exchange) &&
                context.retryBudget(service.name).tryRetry()

        private fun mayRetryRefused(): Boolean = hasTimeLeft() && context.retryBudget(service.name).tryRetry()

        private fun hasTimeLeft() = exchange.deadlineMillis - context.clock.nowMillis() > MINIMUM_RETRY_TIME_MILLIS

        private fun place(): Placement =
            context.place(service, isFirst = triedReplicas.isEmpty()) { usable ->
                context.placement.forCall(usable, triedReplicas, mayReuseTried = earlierResponse == null, service)
            }

        private suspend fun giveUp(result: AttemptResult) {
            val response = earlierResponse
            val callerRetryAfterMillis = context.retryAfterMillis(service) ?: retryAfterMillis
            when {
                response != null -> deliver(response)
                runs > 0 -> exchange.fail(ResultCode.OUTCOME_UNKNOWN, describe(result))
                result is AttemptResult.NotRun ->
                    exchange.refuse(result.proof, resultCodeOf(result), result.detail, callerRetryAfterMillis)
                else -> exchange.fail(ResultCode.OUTCOME_UNKNOWN, describe(result))
            }
        }

        private fun resultCodeOf(result: AttemptResult.NotRun) =
            when (result.proof) {
                NotRunProof.NOTHING_SENT -> ResultCode.NO_REPLICA
                NotRunProof.REFUSED_BY_REPLICA -> ResultCode.BACKEND_REFUSED
            }

        private suspend fun deliver(response: AttemptResult.Responded) {
            exchange.result = ResultCode.OK
            exchange.logFields["replica"] = triedReplicas.last().toString()
            exchange.logFields["attempts"] = triedReplicas.size
            exchange.response.sendComplete(response.head.status(), requests.callerHeaders(response.head), response.body)
        }

        private fun describe(result: AttemptResult) =
            when (result) {
                is AttemptResult.Responded -> "status ${result.head.status()}"
                is AttemptResult.NotRun -> result.detail
                is AttemptResult.ReplicaUnavailable -> "the replica no longer accepts calls"
                is AttemptResult.Unknown -> result.detail
            }

        private val isFinalAttempt: Boolean get() = !route.isRepeatable || runs + 1 >= route.maximumAttempts

        /** Returns when the attempt that began at [startedMillis] is given up. */
        private fun attemptEndMillis(startedMillis: Long): Long =
            if (isFinalAttempt) {
                exchange.deadlineMillis
            } else {
                minOf(exchange.deadlineMillis, startedMillis + RETRYABLE_ATTEMPT_TIMEOUT_MILLIS)
            }

        private suspend fun attempt(replica: Replica): AttemptResult {
            if (isFinalAttempt) return send(replica)
            return withTimeoutOrNull(RETRYABLE_ATTEMPT_TIMEOUT_MILLIS) { send(replica) }
                ?: AttemptResult.Unknown("no response from $replica within $RETRYABLE_ATTEMPT_TIMEOUT_MILLIS ms").also {
                    replica.load.recordOutcome(failed = true)
                }
        }

        private suspend fun send(replica: Replica): AttemptResult {
            val startedMillis = context.clock.nowMillis()
            var isSent = false
            replica.load.begin(0)
            var observation: RolloutObservation? = null
            try {
                return context.pool.use(replica, exchange.requestId, mustBeRecent = !route.isRepeatable) { lease ->
                    val connection = lease.connection
                    if (!connection.isOpen) {
                        return@use AttemptResult.NotRun(NotRunProof.NOTHING_SENT, "connection closed")
                    }
                    val isFirst = runs == 0 && refusals == 0
                    val purpose = if (isFirst) SendPurpose.FIRST_ATTEMPT else SendPurpose.RETRY
                    if (!context.tryAdmit(replica, purpose, exchange)) {
                        lease.complete()
                        return@use AttemptResult.ReplicaUnavailable
                    }
                    exchange.mayHaveRun = true
                    exchange.sends++
                    observation = context.observe(exchange, replica)
                    connection.send(requests.build(exchange, replica), exchange.response.accounts.buffers)
                    isSent = true
                    exchange.sendLog.add(replica, purpose.label, exchange.sendLog.takeCause(), connection.trace)
                    val head = connection.receiveHead(exchange.requestId)
                    if (head.isMisdirected) replica.leave(LeaveReason.REPLACED)
                    if (head.isNotRun) return@use handleRefusal(replica, head, lease)
                    val body = connection.receiveBody(reservation, deadlineMillis = attemptEndMillis(startedMillis))
                    lease.complete()
                    recordCompletion(replica, head, startedMillis, connection.isFramed)
                    classifyResponse(replica, head, body, startedMillis).also { observation.record(it, head) }
                }
            } catch (failure: ConnectFailedException) {
                replica.markUnreachable()
                return AttemptResult.NotRun(NotRunProof.NOTHING_SENT, failure.message.orEmpty())
            } catch (ended: ConnectionEndedException) {
                observation?.recordFailure()
                if (isSent) context.outcomes.recordLoss(exchange, replica, begunMillis = null)
                return unknownResult(replica, ended)
            } catch (failure: IOException) {
                observation?.recordFailure()
                return unknownResult(replica, failure)
            } finally {
                observation?.end()
                replica.load.end(0)
                // A call that was cancelled at its timeout has no response to record.
                val elapsedMillis = context.clock.nowMillis() - startedMillis
                if (elapsedMillis > route.objectiveMillis) recordEnd(replica, elapsedMillis)
            }
        }

        private fun recordCompletion(
            replica: Replica,
            head: HttpResponse,
            startedMillis: Long,
            isFramed: Boolean,
        ) {
            if (head.status().code() !in SUCCESS) return
            context.outcomes.recordCompletion(exchange, replica, startedMillis, isFramed)
        }

        private fun RolloutObservation?.record(
            result: AttemptResult,
            head: HttpResponse,
        ) {
            val isGood = result is AttemptResult.Responded && head.status().code() < SERVER_ERROR
            if (isGood) this?.recordFirstEvent() else this?.recordFailure()
        }

        private fun unknownResult(
            replica: Replica,
            failure: IOException,
        ): AttemptResult {
            replica.load.recordOutcome(failed = true)
            return AttemptResult.Unknown("$replica: ${failure.message}")
        }

        private fun recordEnd(
            replica: Replica,
            elapsedMillis: Long,
            isRefused: Boolean = false,
        ) = context.overflow.recordCall(replica, elapsedMillis, route.objectiveMillis, isRefused)

        private fun classifyResponse(
            replica: Replica,
            head: HttpResponse,
            body: ByteArray,
            startedMillis: Long,
        ): AttemptResult {
            val status = head.status().code()
            val lacksSignature = status < CLIENT_ERROR && !head.isSigned
            replica.load.recordOutcome(failed = status >= SERVER_ERROR || lacksSignature || head.isContradictory)
            if (head.isContradictory) {
                return AttemptResult.Unknown("$replica sent status $status and that the call did not run")
            }
            if (head.hasNotRunStatus || lacksSignature) {
                return AttemptResult.Unknown("$replica sent status $status without the required header")
            }
            val elapsedMillis = context.clock.nowMillis() - startedMillis
            replica.load.recordResponseTime(elapsedMillis)
            recordEnd(replica, elapsedMillis)
            return AttemptResult.Responded(head, body)
        }

        /**
         * Handles a refusal. Its head alone proves that nothing ran, even if its body cannot be read, unless another
         * response contradicts it.
         */
        private suspend fun handleRefusal(
            replica: Replica,
            head: HttpResponse,
            lease: ConnectionLease,
        ): AttemptResult {
            recordEnd(replica, elapsedMillis = 0, isRefused = true)
            val bodyError = lease.connection.skipErrorBody()
            if (lease.connection.isContradicted) {
                return AttemptResult.Unknown("$replica refused the call and responded to it once more")
            }
            if (runs == 0) exchange.mayHaveRun = false
            if (bodyError == null) lease.complete() else exchange.logFields["refusalBody"] = bodyError
            return AttemptResult.NotRun(
                NotRunProof.REFUSED_BY_REPLICA,
                "$replica refused with status ${head.status().code()}",
                lease.connection.isReused,
            )
        }
    }

    private companion object {
        val SUCCESS = 200..299
        const val CLIENT_ERROR = 400
        const val SERVER_ERROR = 500

        /** Refusals after which the call is retried; the next refusal is reported to the caller. */
        const val MAXIMUM_REFUSED_RETRIES = 2

        /** Minimum remaining time for a retry: one round trip and the shortest processing time. */
        const val MINIMUM_RETRY_TIME_MILLIS = 30L

        /** Several times the usual response time; after it a repeatable call is retried on another replica. */
        const val RETRYABLE_ATTEMPT_TIMEOUT_MILLIS = 320L
    }
}
