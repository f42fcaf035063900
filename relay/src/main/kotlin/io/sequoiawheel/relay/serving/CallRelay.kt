/*
 * Relays calls to plain services. A response is read whole before it is passed on, so that a repeatable call whose
 * response is cut off can run again at another replica. A call that may not be repeated is sent again only if it is
 * certain that it has not run.
 */
package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.backend.ConnectFailedException
import io.sequoiawheel.relay.backend.ConnectionLease
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** How one attempt at a replica ended. */
internal sealed interface CallAttempt {
    class Answered(
        val head: HttpResponse,
        val body: ByteArray,
    ) : CallAttempt

    class NotRun(
        val proof: NotRunProof,
        val detail: String,
    ) : CallAttempt

    /** The replica left or asked for quiet before the call was sent. */
    data object Withheld : CallAttempt

    class Unknown(
        val detail: String,
    ) : CallAttempt
}

internal class CallRelay(
    private val context: RelayContext,
) {
    private val requests = BackendRequests(context.clock)

    /** Answers the call, at the latest at its deadline. */
    suspend fun relay(
        exchange: Exchange,
        service: RelayService,
    ) {
        val remaining = exchange.deadlineMillis - context.clock.nowMillis()
        val call = Call(exchange, service)
        val inTime = withTimeoutOrNull(remaining) { call.run() }
        if (inTime != null || exchange.response.isStarted || call.deliverHeld()) return
        if (exchange.mayHaveRun) {
            exchange.fail(ResultCode.DEADLINE_AFTER_DISPATCH, "no response before the deadline")
        } else {
            exchange.refuse(
                NotRunProof.NOTHING_SENT,
                ResultCode.DEADLINE_BEFORE_DISPATCH,
                "no replica took the call before the deadline",
                RETRY_AFTER_MILLIS,
            )
        }
    }

    /** One call with its attempts. */
    private inner class Call(
        private val exchange: Exchange,
        private val service: RelayService,
    ) {
        private val route = checkNotNull(exchange.route)
        private val tried = LinkedHashSet<Replica>()
        private var runs = 0
        private var refusals = 0
        private var lastAnswer: CallAttempt.Answered? = null
        private var retryAfterMillis = RETRY_AFTER_MILLIS

        suspend fun run() {
            while (true) {
                val placement = place()
                if (placement !is Placement.At) {
                    retryAfterMillis = (placement as? Placement.Later)?.afterMillis ?: RETRY_AFTER_MILLIS
                    giveUp(CallAttempt.NotRun(NotRunProof.NOTHING_SENT, "no replica of ${service.name} takes calls"))
                    return
                }
                val replica = placement.replica
                if (tried.isEmpty()) context.allowance(service.name).request()
                tried += replica
                val attempt = attempt(replica)
                if (settle(attempt)) return
            }
        }

        /** Delivers the answer of an earlier attempt. Returns false if there is none. */
        suspend fun deliverHeld(): Boolean {
            deliver(lastAnswer ?: return false)
            return true
        }

        /** Answers the caller if [attempt] decides the call. Returns false if it is to be tried again. */
        private suspend fun settle(attempt: CallAttempt): Boolean {
            when (attempt) {
                is CallAttempt.Answered -> {
                    runs++
                    val failed = attempt.head.status().code() >= SERVER_ERROR
                    if (failed && mayRunAgain()) {
                        lastAnswer = attempt
                        return false
                    }
                    deliver(attempt)
                }

                is CallAttempt.NotRun -> {
                    if (attempt.proof == NotRunProof.REFUSED_BY_REPLICA && !mayRepeatRefused()) {
                        giveUp(attempt)
                    } else if (refusals++ < MAXIMUM_REFUSALS) {
                        return false
                    } else {
                        giveUp(attempt)
                    }
                }

                is CallAttempt.Withheld -> return false

                is CallAttempt.Unknown -> {
                    runs++
                    if (mayRunAgain()) return false
                    giveUp(attempt)
                }
            }
            return true
        }

        private fun mayRunAgain(): Boolean =
            route.isRepeatable &&
                runs < route.maximumAttempts &&
                isTimeLeft() &&
                context.allowance(service.name).tryRepeat()

        private fun mayRepeatRefused(): Boolean = isTimeLeft() && context.allowance(service.name).tryRepeat()

        private fun isTimeLeft() = exchange.deadlineMillis - context.clock.nowMillis() > MINIMUM_TIME_MILLIS

        private fun place(): Placement {
            val usable = context.directory.usable(service.name)
            return context.placement.forCall(usable, tried, mayReturn = lastAnswer == null, service)
        }

        private suspend fun giveUp(attempt: CallAttempt) {
            val answer = lastAnswer
            val hintMillis = context.comeBackMillis(service) ?: retryAfterMillis
            when {
                answer != null -> deliver(answer)
                runs > 0 -> exchange.fail(ResultCode.OUTCOME_UNKNOWN, describe(attempt))
                attempt is CallAttempt.NotRun ->
                    exchange.refuse(attempt.proof, codeOf(attempt), attempt.detail, hintMillis)
                else -> exchange.fail(ResultCode.OUTCOME_UNKNOWN, describe(attempt))
            }
        }

        private fun codeOf(attempt: CallAttempt.NotRun) =
            when (attempt.proof) {
                NotRunProof.NOTHING_SENT -> ResultCode.NO_REPLICA
                NotRunProof.REFUSED_BY_REPLICA -> ResultCode.BACKEND_REFUSED
            }

        private suspend fun deliver(answer: CallAttempt.Answered) {
            exchange.result = ResultCode.OK
            exchange.notes["replica"] = tried.last().toString()
            exchange.notes["attempts"] = tried.size
            exchange.response.sendComplete(answer.head.status(), requests.callerHeaders(answer.head), answer.body)
        }

        private fun describe(attempt: CallAttempt) =
            when (attempt) {
                is CallAttempt.Answered -> "status ${attempt.head.status()}"
                is CallAttempt.NotRun -> attempt.detail
                is CallAttempt.Withheld -> "the replica takes no calls any more"
                is CallAttempt.Unknown -> attempt.detail
            }

        private suspend fun attempt(replica: Replica): CallAttempt {
            val isPatient = !route.isRepeatable || runs + 1 >= route.maximumAttempts
            if (isPatient) return send(replica)
            return withTimeoutOrNull(FIRST_ATTEMPT_MILLIS) { send(replica) }
                ?: CallAttempt.Unknown("no response from $replica within $FIRST_ATTEMPT_MILLIS ms").also {
                    replica.load.outcome(failed = true)
                }
        }

        private suspend fun send(replica: Replica): CallAttempt {
            val startedMillis = context.clock.nowMillis()
            replica.load.begin(0)
            try {
                return context.pool.use(replica, mustBeRecent = !route.isRepeatable) { lease ->
                    val connection = lease.connection
                    if (!connection.isOpen) {
                        return@use CallAttempt.NotRun(NotRunProof.NOTHING_SENT, "connection closed")
                    }
                    if (!context.mayReceive(replica)) {
                        lease.complete()
                        return@use CallAttempt.Withheld
                    }
                    exchange.mayHaveRun = true
                    connection.send(requests.build(exchange, replica))
                    val head = connection.receiveHead(exchange.requestId)
                    if (head.isNotRun) return@use notRun(replica, head, lease)
                    val body = connection.receiveBody()
                    lease.complete()
                    judge(replica, head, body, startedMillis)
                }
            } catch (failure: ConnectFailedException) {
                replica.unreachable()
                return CallAttempt.NotRun(NotRunProof.NOTHING_SENT, failure.message.orEmpty())
            } catch (failure: IOException) {
                replica.load.outcome(failed = true)
                return CallAttempt.Unknown("$replica: ${failure.message}")
            } finally {
                replica.load.end(0)
            }
        }

        private fun judge(
            replica: Replica,
            head: HttpResponse,
            body: ByteArray,
            startedMillis: Long,
        ): CallAttempt {
            val status = head.status().code()
            val isUnsigned = status < CLIENT_ERROR && !head.isSigned
            replica.load.outcome(failed = status >= SERVER_ERROR || isUnsigned)
            if (head.promisesNotRun ||
                isUnsigned
            ) {
                return CallAttempt.Unknown("$replica answered $status without a proof")
            }
            replica.load.responded(context.clock.nowMillis() - startedMillis)
            return CallAttempt.Answered(head, body)
        }

        /** The head of a refusal proves that nothing ran, whatever becomes of its body. */
        private suspend fun notRun(
            replica: Replica,
            head: HttpResponse,
            lease: ConnectionLease,
        ): CallAttempt {
            if (head.isMisdirected) replica.leave(LeaveReason.REPLACED)
            if (runs == 0) exchange.mayHaveRun = false
            val unreadable = lease.connection.skipErrorBody()
            if (unreadable == null) lease.complete() else exchange.notes["refusalBody"] = unreadable
            return CallAttempt.NotRun(
                NotRunProof.REFUSED_BY_REPLICA,
                "$replica refused with status ${head.status().code()}",
            )
        }
    }

    private companion object {
        const val CLIENT_ERROR = 400
        const val SERVER_ERROR = 500

        /** Replicas that may turn one call down before the caller is told to come back. */
        const val MAXIMUM_REFUSALS = 2

        /** Room for one round trip and the shortest work. */
        const val MINIMUM_TIME_MILLIS = 30L

        /** A repeatable call goes to another replica after several usual response times. */
        const val FIRST_ATTEMPT_MILLIS = 320L

        /** By then the calls that fill the replicas' queues have ended. */
        const val RETRY_AFTER_MILLIS = 150L
    }
}
