/*
 * One generation from its placement to its last event. The caller sees one response, whose head is that of the first
 * replica. When the replica leaves, falls silent or breaks off, the run goes on at another replica: from a copy of its
 * memory where there is one, or from the start where the route allows it. Until the new replica's stream begins, events
 * of the old one are still delivered, so that a planned move has no pause; then the old connection is closed, which
 * ends the work there.
 */
package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.Delivery
import io.sequoiawheel.core.relay.DeliveryDecision
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.SignalQueue
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

internal class GenerationRun(
    private val context: RelayContext,
    private val copier: RunCopier,
    private val exchange: Exchange,
    private val service: RelayService,
    private val scope: CoroutineScope,
) {
    private val route = checkNotNull(exchange.route)
    private val engine = service.engine ?: PLAIN_STREAM
    private val requests = BackendRequests(context.clock)
    private val signals = SignalQueue<GenerationSignal>()
    private val demand = exchange.demand
    private val pauses = DeliveryPauses(context.clock, exchange.request.receivedAtMillis)
    private val delivery =
        Delivery(
            exchange.request.headers
                .get(Headers.LAST_EVENT_ID)
                ?.trim()
                ?.toLongOrNull(),
        )

    /** Generations that cannot be repeated are worth a copy at another replica. */
    private val wantsBackup = !route.isResumable && exchange.requestId != null

    /** The attempt whose events are delivered. */
    private var current: GenerationAttempt? = null

    /** The attempt whose connection broke while a copy of its run, perhaps complete, had not been reported. */
    private var orphan: GenerationAttempt? = null

    /** The attempt that takes over once its stream begins. */
    private var successor: GenerationAttempt? = null
    private var copying: Job? = null
    private var watching: Job? = null
    private val lost = LinkedHashSet<Replica>()
    private val usedBackups = HashSet<Replica>()
    private var runs = 0
    private var refusals = 0
    private var moves = 0
    private var isOver = false
    private var retryAfterMillis = RETRY_AFTER_MILLIS

    /** Serves the request to its end. */
    suspend fun run() {
        if (!placeAnew(emptySet())) {
            refuse(NotRunProof.NOTHING_SENT, ResultCode.NO_REPLICA, "no replica of ${service.name} takes generations")
            return
        }
        context.allowance(service.name).request()
        while (!isOver) {
            val signal = signals.receiveWithin(SILENCE_CHECK_MILLIS)
            if (signal == null) checkSilence() else handle(signal)
        }
        exchange.notes["moves"] = moves.takeIf { it > 0 }
        exchange.notes["events"] = delivery.delivered
        exchange.notes += pauses.notes()
        exchange.notes["replica"] = current?.replica.toString()
    }

    /** Ends everything that is still going on for this request. */
    fun stop() {
        current?.cancel()
        successor?.cancel()
        copying?.cancel()
        watching?.cancel()
    }

    private suspend fun handle(signal: GenerationSignal) {
        when (signal) {
            is GenerationSignal.Began -> began(signal.attempt, signal.head)
            is GenerationSignal.Failed -> failed(signal)
            is GenerationSignal.NotRun -> if (!endSuccessor(signal.attempt, signal.detail)) notRun(signal)
            is GenerationSignal.Broken -> if (!endSuccessor(signal.attempt, signal.detail)) broken(signal)
            else -> if (signal.attempt === current || signal.attempt === orphan) handleCurrent(signal)
        }
    }

    private suspend fun handleCurrent(signal: GenerationSignal) {
        when (signal) {
            is GenerationSignal.Event -> deliver(signal)
            is GenerationSignal.Completed -> complete()
            is GenerationSignal.ReplicaLeaves -> replicaLeaves(signal)
            is GenerationSignal.CopyReady -> if (successor == null) continueFrom(signal.copy)
            is GenerationSignal.CopyFailed -> {
                exchange.notes["copyFailed"] = signal.detail
                if (signal.attempt === orphan) recover(signal.detail)
            }

            else -> Unit
        }
    }

    /** Ends a successor that cannot take over. Returns false if [attempt] is not the successor. */
    private suspend fun endSuccessor(
        attempt: GenerationAttempt,
        detail: String,
    ): Boolean {
        if (attempt !== successor) return false
        successor = null
        exchange.notes["takeOverFailed"] = detail
        val source = current
        when {
            source == null -> recover(detail)
            source.replica.isLeaving -> copyAway(source)
        }
        return true
    }

    private fun began(
        attempt: GenerationAttempt,
        head: HttpResponse,
    ) {
        when {
            attempt === successor -> {
                moves++
                current?.let {
                    it.cancel()
                    lost += it.replica
                }
                current = attempt
                successor = null
                context.log.request(
                    "generation moved",
                    mapOf(
                        "request" to exchange.requestId,
                        "replica" to attempt.replica.toString(),
                        "lastEvent" to delivery.lastId,
                    ) + MOVE_NOTES.associateWith { exchange.notes.remove(it) },
                )
                context.metrics.count("moves", "continued")
                watch(attempt)
            }

            attempt === current -> runs++
            else -> return
        }
        if (!exchange.response.isStarted) exchange.response.start(head.status(), requests.callerHeaders(head))
    }

    private suspend fun deliver(signal: GenerationSignal.Event) {
        when (delivery.decide(signal.event.id)) {
            DeliveryDecision.DELIVER -> {
                if (signal.event.id != null) signal.attempt.advanced()
                pauses.delivered(signal.event.id)
                exchange.response.write(signal.event.bytes)
            }

            DeliveryDecision.SKIP -> Unit
            DeliveryDecision.GAP -> {
                end(ResultCode.STREAM_INTERRUPTED, "event ${signal.event.id} follows ${delivery.lastId}")
            }
        }
    }

    private fun complete() {
        isOver = true
        exchange.result = ResultCode.OK
        exchange.response.finish()
    }

    /** The replica's own failure goes to the caller unchanged, unless the stream has begun or may be tried again. */
    private suspend fun failed(signal: GenerationSignal.Failed) {
        if (endSuccessor(signal.attempt, "${signal.attempt.replica} answered ${signal.head.status()}")) return
        if (signal.attempt !== current) return
        runs++
        signal.attempt.replica.load
            .outcome(failed = true)
        if (route.isRepeatable && mayRunAgain() && placeAnew(setOf(signal.attempt.replica))) return
        if (exchange.response.isStarted) {
            end(ResultCode.STREAM_INTERRUPTED, "${signal.attempt.replica} answered ${signal.head.status()}")
            return
        }
        if (signal.head.promisesNotRun) {
            end(ResultCode.BACKEND_ERROR, "${signal.attempt.replica} answered ${signal.head.status()} without a proof")
            return
        }
        isOver = true
        exchange.result = ResultCode.BACKEND_ERROR
        exchange.response.whole(signal.head.status(), requests.callerHeaders(signal.head), signal.body)
    }

    private suspend fun notRun(signal: GenerationSignal.NotRun) {
        if (signal.attempt !== current) return
        if (signal.proof == NotRunProof.NOTHING_SENT && !signal.isWithheld) signal.attempt.replica.unreachable()
        if (runs == 0 && delivery.delivered == 0) exchange.mayHaveRun = false
        lost += signal.attempt.replica
        if (mayRetryElsewhere(signal) && placeAnew(lost)) return
        current = null
        when {
            exchange.response.isStarted -> end(ResultCode.STREAM_INTERRUPTED, signal.detail)
            runs > 0 -> end(ResultCode.OUTCOME_UNKNOWN, signal.detail)
            else -> refuse(signal.proof, ResultCode.BACKEND_REFUSED, signal.detail)
        }
    }

    private fun mayRetryElsewhere(signal: GenerationSignal.NotRun): Boolean =
        signal.isWithheld ||
            refusals++ < MAXIMUM_REFUSALS &&
            (signal.proof == NotRunProof.NOTHING_SENT || context.allowance(service.name).tryRepeat())

    private suspend fun broken(signal: GenerationSignal.Broken) {
        if (signal.attempt !== current) return
        val attempt = signal.attempt
        attempt.replica.load.outcome(failed = true)
        lost += attempt.replica
        if (!attempt.hasBegun) runs++
        current = null
        exchange.notes["lostReplica"] = signal.detail
        exchange.notes["backup"] = attempt.backup?.toString() ?: "none"
        when {
            successor != null || continueFromBackup(attempt) -> Unit
            copying?.isActive == true && !route.isRepeatable -> orphan = attempt
            else -> recover(signal.detail)
        }
    }

    /** Goes on at the replica that keeps a copy of [attempt]'s run. Returns false if there is none to use. */
    private fun continueFromBackup(attempt: GenerationAttempt): Boolean {
        val backup = attempt.backup?.takeIf(context.directory::mayReceive) ?: return false
        if (!attempt.hasBegun || !usedBackups.add(backup)) return false
        continueFrom(copier.backup(backup, exchange.requestId.orEmpty()))
        return true
    }

    /** Goes on without a copy: from the start or the last event where the route allows it. */
    private suspend fun recover(detail: String) {
        if (route.isRepeatable && mayRunAgain() && placeAnew(lost)) return
        end(if (exchange.response.isStarted) ResultCode.STREAM_INTERRUPTED else ResultCode.OUTCOME_UNKNOWN, detail)
    }

    private fun mayRunAgain() = runs < route.maximumAttempts && context.allowance(service.name).tryRepeat()

    private fun replicaLeaves(signal: GenerationSignal.ReplicaLeaves) {
        exchange.notes["left"] = signal.reason.name
        if (!continueFromBackup(signal.attempt)) copyAway(signal.attempt)
    }

    /** Sends the request to the replica that holds [copy]; events of the current replica are delivered meanwhile. */
    private fun continueFrom(copy: RunCopyAt) {
        val headers = HashMap<String, String>()
        headers[Headers.CONTINUE_FROM] = copy.copy.headerValue
        headers[Headers.LAST_EVENT_ID] = (delivery.lastId ?: 0).toString()
        successor = attempt(copy.destination, headers).also { it.start(scope) }
    }

    /** Copies the run's memory off a leaving replica, so that the run can go on from there. */
    private fun copyAway(attempt: GenerationAttempt) {
        if (!engine.movesRuns || exchange.requestId == null || copying?.isActive == true) return
        copying =
            scope.launch {
                val signal =
                    when (val result = copier.copyAway(exchange.requestId, attempt, lost, service, demand)) {
                        is CopyResult.Copied -> GenerationSignal.CopyReady(attempt, result.copy)
                        is CopyResult.NoSuchRun -> GenerationSignal.CopyFailed(attempt, result.detail)
                        is CopyResult.Refused -> GenerationSignal.CopyFailed(attempt, result.detail)
                    }
                signals.sender.trySend(signal)
            }
    }

    /** A replica that made events and stopped without a word is left for its backup. */
    private fun checkSilence() {
        val attempt = current ?: return
        val silentMillis = context.clock.nowMillis() - attempt.lastEventMillis
        if (!attempt.hasBegun || successor != null || silentMillis < SILENCE_MILLIS) return
        if (continueFromBackup(attempt)) exchange.notes["silentMilliseconds"] = silentMillis
    }

    /** Sends the request to a replica chosen now. Returns false if there is none. */
    private fun placeAnew(excluded: Set<Replica>): Boolean {
        val usable = context.directory.usable(service.name)
        val placement = context.placement.forGeneration(usable, excluded, demand, engine, service)
        retryAfterMillis = (placement as? Placement.Later)?.afterMillis ?: RETRY_AFTER_MILLIS
        val replica = (placement as? Placement.At)?.replica ?: return false
        val resumed = delivery.lastId?.takeIf { delivery.delivered > 0 }
        val headers = resumed?.let { mapOf(Headers.LAST_EVENT_ID to it.toString()) }.orEmpty()
        current =
            attempt(replica, headers).also {
                it.start(scope)
                watch(it)
            }
        return true
    }

    private fun attempt(
        replica: Replica,
        headers: Map<String, String>,
    ): GenerationAttempt {
        val backup = if (wantsBackup) copier.chooseBackup(replica, lost, service, demand) else null
        val backupHeader = backup?.let { mapOf(Headers.BACKUP_REPLICA to it.entry.address) }.orEmpty()
        return GenerationAttempt(context, exchange, replica, demand, backup, headers + backupHeader, signals.sender)
    }

    private fun watch(attempt: GenerationAttempt) {
        watching?.cancel()
        watching =
            scope.launch {
                val reason = attempt.replica.awaitLeaving()
                signals.sender.trySend(GenerationSignal.ReplicaLeaves(attempt, reason))
            }
    }

    private suspend fun end(
        code: ResultCode,
        detail: String,
    ) {
        isOver = true
        exchange.fail(code, detail)
    }

    private suspend fun refuse(
        proof: NotRunProof,
        code: ResultCode,
        detail: String,
    ) {
        isOver = true
        exchange.refuse(proof, code, detail, context.comeBackMillis(service) ?: retryAfterMillis)
    }

    private companion object {
        /** A stream of a service without an engine has no memory to plan for. */
        val PLAIN_STREAM =
            EngineProfile(
                slots = Int.MAX_VALUE,
                memoryTokens = Int.MAX_VALUE,
                bytesPerToken = 0,
                tokensPerEvent = 1,
                movesRuns = false,
                backsUpRuns = false,
            )

        /** Why a run moved; once it has, they would be taken for the reason of a later end. */
        val MOVE_NOTES = listOf("left", "lostReplica", "backup", "copyFailed", "takeOverFailed")

        /** Replicas that may turn one request down before the caller is told to come back. */
        const val MAXIMUM_REFUSALS = 2

        /** A place is free again when one of the running generations ends, about every second. */
        const val RETRY_AFTER_MILLIS = 700L

        /** How often a stream without events is looked at. */
        const val SILENCE_CHECK_MILLIS = 150L

        /** Several times the longest pause between events that is still on time. */
        const val SILENCE_MILLIS = 700L
    }
}
