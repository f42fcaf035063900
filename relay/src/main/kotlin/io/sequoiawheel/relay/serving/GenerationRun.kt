/*
 * Runs one generation from its placement to its last event. A run is the execution of the generation by a replica. The
 * caller receives a single response, with the headers of the first replica's response. When the replica leaves, stalls
 * or loses its connection, the run continues on another replica: from a copy of its KV cache if there is one, or by
 * sending the request again if the route allows it. Events of the old replica are delivered until the new replica's
 * stream starts, so that a planned move does not interrupt the stream. Then the old connection is closed and the run
 * there is stopped.
 */
package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.quarantine.PromptPart
import io.sequoiawheel.core.relay.Continuation
import io.sequoiawheel.core.relay.Delivery
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.LeaveCause
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaPlacement
import io.sequoiawheel.core.relay.RunDecision
import io.sequoiawheel.core.relay.SignalQueue
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

internal class GenerationRun(
    private val context: RelayContext,
    private val copier: RunCopier,
    stopper: RunStopper,
    private val exchange: Exchange,
    private val service: RelayService,
    private val scope: CoroutineScope,
) {
    private val route = checkNotNull(exchange.route)
    private val engine = service.engine ?: EngineProfile.NONE
    private val requests = BackendRequests(context.clock)
    private val signals = SignalQueue<GenerationSignal>()
    private val demand = exchange.demand
    private val delivery = Delivery(exchange.lastEventId)
    private val log = GenerationLog(context, exchange, delivery)

    /** Only generations whose streams cannot be resumed are backed up to another replica. */
    private val wantsBackup = !route.isResumable && exchange.requestId != null

    private val attempts =
        GenerationAttempts(context, copier, exchange, service, delivery, wantsBackup, signals.sender)

    /** The attempt whose events are delivered. */
    private var current: GenerationAttempt? = null

    /** The attempt whose connection failed while its run was being copied; the copy may still be usable. */
    private var attemptAwaitingCopy: GenerationAttempt? = null

    /** The attempt that replaces [current] once its response stream starts. */
    private var successor: GenerationAttempt? = null
    private var copyJob: Job? = null
    private val leavingWatch = LeavingWatch(scope, signals.sender, mayVacate = context.rollouts != null)

    /** Runs that nothing reads any more; without migration there is no request that stops a run. */
    private val runsLeft =
        RunsLeft(stopper, exchange.requestId.takeIf { engine.supportsMigration }, exchange.deadlineMillis) { replica ->
            current?.replica === replica || successor?.replica === replica
        }

    private val moveGate = MoveGate(context, attempts, runsLeft, log, engine.supportsMigration)
    private val sourceStop =
        SourceStop(context, attempts, copier, runsLeft, exchange, service, scope, signals.sender)

    /**
     * Replicas that did not run the request, lost its connection or were replaced by a successor; the request returns
     * to them only if there is no other.
     */
    private val abandoned = LinkedHashSet<Replica>()

    /** Number of attempts that a replica may have executed, without those that continued from a copy. */
    private var runs = 0
    private val retries = RetryAllowance(context, exchange, service)

    /** Number of sends that continue from a copy and were not refused; each may have been executed. */
    private var continuations = 0
    private var isFinished = false

    /** The part of the prompt because of which no further attempt was started, or null. */
    private var quarantinedPart: PromptPart? = null
    private var retryAfterMillis = ReplicaPlacement.FULL_GENERATIONS_MILLIS

    private val pendingOffer = PendingOffer(context.clock, exchange, delivery)

    /** Time after which a replica may accept the generation, or null if it is not to be sent again. */
    private val offerDelayMillis get() = retryAfterMillis.takeIf { quarantinedPart == null }

    /** Handles the request until it ends. */
    suspend fun run() {
        if (!startAttempt(emptySet())) {
            refuse(NotRunProof.NOTHING_SENT, ResultCode.NO_REPLICA, "no replica of ${service.name} accepts generations")
            return
        }
        context.retryBudget(service.name).recordRequest()
        while (!isFinished) {
            val mayOverlap = successor != null || runsLeft.isPending
            val signal = signals.receiveWithin(if (mayOverlap) OVERLAP_CHECK_MILLIS else STALL_CHECK_MILLIS)
            if (signal == null) checkForStall() else handle(signal)
            checkForOverlap()
            if (!isFinished) pendingOffer.takeDue()?.let { startOrWait(retries.mayOfferAgain(), it) }
        }
    }

    /** Cancels all attempts and jobs of this request, which may have been cancelled itself. */
    fun stop() {
        log.recordEnd(current?.replica)
        current?.cancel()
        successor?.cancel()
        copyJob?.cancel()
        leavingWatch.stop()
        runsLeft.stopAtEnd(listOfNotNull(current, successor))
    }

    private suspend fun handle(signal: GenerationSignal) {
        log.recordFailure(signal, isSuccessor = signal.attempt === successor)
        when (signal) {
            is GenerationSignal.Started -> handleStarted(signal.attempt, signal.head)
            is GenerationSignal.Failed -> handleFailed(signal)
            is GenerationSignal.NotRun -> if (!discardSuccessor(signal, signal.detail)) handleNotRun(signal)
            is GenerationSignal.ConnectionFailed ->
                if (!discardSuccessor(signal, signal.detail)) handleConnectionFailed(signal)
            is GenerationSignal.SourceStopped ->
                when {
                    signal.decision == RunDecision.STOP ->
                        failInterrupted("${signal.detail}, and its run cannot be stopped")
                    !continueFromBackup(signal.attempt) -> retryWithoutCopy(signal.detail)
                }
            is GenerationSignal.Events -> deliver(signal)
            else -> if (signal.attempt === current || signal.attempt === attemptAwaitingCopy) handleCurrent(signal)
        }
    }

    private suspend fun handleCurrent(signal: GenerationSignal) {
        when (signal) {
            is GenerationSignal.Completed -> if (signal.attempt === current) complete(signal.attempt)
            is GenerationSignal.ReplicaLeaving -> {
                exchange.logFields["left"] = signal.reason.name
                moveFrom(signal.attempt)
            }
            is GenerationSignal.CopyReady -> {
                val mayLeave = signal.attempt !== current || moveGate.mayContinueFromCopy(signal.attempt)
                if (successor == null && mayLeave) continueFrom(signal.copy)
            }
            is GenerationSignal.CopyFailed -> {
                exchange.logFields["copyFailed"] = signal.detail
                if (signal.attempt === attemptAwaitingCopy) retryWithoutCopy(signal.detail)
            }

            else -> Unit
        }
    }

    /** Discards a successor that failed before it took over. Returns false if [signal] is not about the successor. */
    private suspend fun discardSuccessor(
        signal: GenerationSignal,
        detail: String,
    ): Boolean {
        if (signal.attempt !== successor) return false
        successor = null
        if (signal is GenerationSignal.NotRun) continuations--
        if (signal is GenerationSignal.ConnectionFailed) runsLeft.add(signal.attempt)
        exchange.logFields["takeOverFailed"] = detail
        val source = current
        source?.let { runsLeft.stopAll(it.replica) }
        when {
            source == null -> retryWithoutCopy(detail)
            source.replica.isLeaving || source.replica.isVacated -> moveFrom(source)
        }
        return true
    }

    private fun handleStarted(
        attempt: GenerationAttempt,
        head: HttpResponse,
    ) {
        when {
            attempt === successor -> {
                current?.let(::leave)
                current = attempt
                successor = null
                log.recordMove(attempt.replica)
                leavingWatch.start(attempt)
            }

            attempt === current -> runs++
            else -> return
        }
        runsLeft.stopAll(attempt.replica)
        if (!exchange.response.isStarted) exchange.response.start(head.status(), requests.callerHeaders(head))
    }

    /** Stops reading the stream of [attempt], whose generation goes on elsewhere. */
    private fun leave(attempt: GenerationAttempt) {
        attempt.cancel()
        abandoned += attempt.replica
        runsLeft.add(attempt)
    }

    /** Delivers the events that are due, as one chunk of the response, and lets the attempt read on. */
    private suspend fun deliver(signal: GenerationSignal.Events) {
        val attempt = signal.attempt
        if (attempt === current) {
            val batch = EventBatch(attempt.stream, signal.events)
            if (batch.hasProgress) attempt.recordProgress()
            if (batch.delivered > 0) log.recordDelivery(delivery.lastId.takeIf { batch.hasProgress })
            if (batch.bytes.isNotEmpty()) exchange.response.write(batch.bytes)
            batch.rejected?.let { handle(attempt.rejectStream("$it after ${delivery.lastId}")) }
        }
        signal.handled.complete(Unit)
    }

    private suspend fun complete(attempt: GenerationAttempt) {
        if (!attempt.stream.isAtEnd) return handle(attempt.rejectStream("ended before event ${delivery.lastId}"))
        isFinished = true
        exchange.result = ResultCode.OK
        exchange.response.finish()
    }

    /** Forwards a replica's error response unchanged, unless the request is retried or the stream has started. */
    private suspend fun handleFailed(signal: GenerationSignal.Failed) {
        val status = signal.head.status()
        val detail = "${signal.attempt.replica} responded with $status"
        if (discardSuccessor(signal, detail)) return
        if (signal.attempt !== current) return
        runs++
        signal.attempt.replica.load
            .recordOutcome(failed = true)
        if (route.isRepeatable && retries.mayRunAgain(runs) && startAttempt(setOf(signal.attempt.replica))) return
        if (exchange.response.isStarted) return fail(ResultCode.STREAM_INTERRUPTED, detail)
        if (signal.head.hasNotRunStatus) {
            return fail(ResultCode.BACKEND_ERROR, "${signal.attempt.replica} sent $status without the required header")
        }
        isFinished = true
        exchange.result = ResultCode.BACKEND_ERROR
        exchange.response.sendComplete(status, requests.callerHeaders(signal.head), signal.body)
    }

    private suspend fun handleNotRun(signal: GenerationSignal.NotRun) {
        if (signal.attempt !== current) return
        if (signal.proof == NotRunProof.NOTHING_SENT && !signal.isUnavailable) signal.attempt.replica.markUnreachable()
        abandoned += signal.attempt.replica
        if (continuations > 0) {
            // The generation may run, or have run, at the replica that continued from the copy.
            current = null
            if (successor == null) retryWithoutCopy(signal.detail)
            return
        }
        if (runs == 0 && delivery.delivered == 0) exchange.mayHaveRun = false
        if (retries.maySendElsewhere(signal) && startAttempt(abandoned)) {
            if (signal.proof == NotRunProof.REFUSED_BY_REPLICA) {
                context.logResend(exchange, signal.attempt.replica, signal.detail, signal.isReusedConnection)
            }
            return
        }
        current = null
        when {
            runs == 0 -> refuse(signal.proof, ResultCode.BACKEND_REFUSED, signal.detail)
            !pendingOffer.schedule(offerDelayMillis, signal.detail) -> failInterrupted(signal.detail)
        }
    }

    private suspend fun handleConnectionFailed(signal: GenerationSignal.ConnectionFailed) {
        if (signal.attempt !== current) return
        val attempt = signal.attempt
        if (!context.outcomes.isSuspected(exchange)) attempt.replica.load.recordOutcome(failed = true)
        leave(attempt)
        if (!attempt.hasStarted) runs++
        current = null
        exchange.logFields["lostReplica"] = signal.detail
        exchange.logFields["backup"] = attempt.backup?.toString() ?: "none"
        val mayAwaitCopy = copyJob?.isActive == true && !route.isRepeatable
        when {
            successor != null -> Unit
            sourceStop.start(
                attempt,
                signal.detail,
                abandoned,
                delivery.canBeResumed && runs < route.maximumAttempts,
            ) -> Unit
            continueFromBackup(attempt) -> Unit
            mayAwaitCopy -> attemptAwaitingCopy = attempt
            else -> retryWithoutCopy(signal.detail)
        }
    }

    /** Continues on the replica that holds the backup of [attempt]'s run. Returns false if no backup is usable. */
    private fun continueFromBackup(attempt: GenerationAttempt): Boolean {
        if (context.outcomes.isSuspected(exchange)) return false
        val backup = attempts.takeBackup(attempt) ?: return false
        continueFrom(copier.backupCopy(backup, exchange.requestId.orEmpty()))
        return true
    }

    /** Sends the request again without a copy if the route allows it, or else fails it with [detail]. */
    private suspend fun retryWithoutCopy(detail: String) =
        startOrWait(route.isRepeatable && retries.mayRunAgain(runs), detail)

    /** Sends the request again if [isAllowed], waits for a replica that accepts it, or else fails it with [detail]. */
    private suspend fun startOrWait(
        isAllowed: Boolean,
        detail: String,
    ) {
        if (isAllowed && startAttempt(abandoned)) return
        if (!isAllowed || !pendingOffer.schedule(offerDelayMillis, detail)) failInterrupted(detail)
    }

    private suspend fun failInterrupted(detail: String) =
        fail(if (exchange.response.isStarted) ResultCode.STREAM_INTERRUPTED else ResultCode.OUTCOME_UNKNOWN, detail)

    private fun moveFrom(source: GenerationAttempt) {
        if (successor != null) return
        when (moveGate.tryLeave(source, LeaveCause.NOTICE)) {
            Continuation.BACKUP -> continueFromBackup(source)
            Continuation.COPY -> migrate(source)
            else -> Unit
        }
    }

    /** Continues on the replica that holds [copy]; events of the current replica are still delivered meanwhile. */
    private fun continueFrom(copy: PlacedRunCopy) {
        continuations++
        successor = attempts.continuation(copy, abandoned).also { it.start(scope) }
    }

    /** Copies the run's KV cache from a leaving replica to another one, so that the run can continue there. */
    private fun migrate(attempt: GenerationAttempt) {
        if (!engine.supportsMigration || exchange.requestId == null || copyJob?.isActive == true) return
        if (context.outcomes.isSuspected(exchange)) return
        copyJob =
            scope.launch {
                val result = copier.migrate(exchange.requestId, attempt, abandoned, service, demand)
                signals.sender.trySend(result.signalFor(attempt))
            }
    }

    /**
     * Tries a move again that had to wait, and continues from the backup if the replica's stream has started but
     * delivered no new event for too long.
     */
    private fun checkForStall() {
        val attempt = current ?: return
        if (moveGate.isHeld(attempt) && (attempt.replica.isLeaving || attempt.replica.isVacated)) moveFrom(attempt)
        val stalledMillis = context.clock.nowMillis() - attempt.lastProgressMillis
        if (!attempt.hasStarted || successor != null || stalledMillis < STALL_MILLIS) return
        if (moveGate.tryLeave(attempt, LeaveCause.STALL) == null) return
        exchange.sendLog.resendBecause("no event of ${attempt.replica} for $stalledMillis ms")
        if (continueFromBackup(attempt)) exchange.logFields["silentMilliseconds"] = stalledMillis
    }

    /** Ends the work of one of two replicas if the head of the newest attempt is late. */
    private suspend fun checkForOverlap() {
        val newest = (successor ?: current)?.takeIf { !isFinished && !it.hasStarted } ?: return
        val sentMillis = newest.sentMillis ?: return
        val source = current?.takeIf { it !== newest }
        val nowMillis = context.clock.nowMillis()
        val isSourceInProgress = source != null && nowMillis - source.lastProgressMillis < STALL_MILLIS
        val mayStopNewest = { runsLeft.reserveStop(newest.replica) == null }
        when (runsLeft.places.decideLateHead(nowMillis - sentMillis, isSourceInProgress, mayStopNewest)) {
            RunDecision.WAIT -> return
            RunDecision.STOP -> return handle(newest.rejectStream("no response head in time"))
            RunDecision.GO_ON -> Unit
        }
        if (source != null) {
            if (!source.hasStarted) runs++
            leave(source)
            current = null
        }
        runsLeft.stopAll(newest.replica, mayWaitForCopy = true)
    }

    /**
     * Selects a replica and sends the request to it. Returns false if no replica is available, or if the delivered
     * events have no ids to continue from.
     */
    private fun startAttempt(excluded: Set<Replica>): Boolean {
        if (!delivery.canBeResumed) return false
        quarantinedPart = context.refusedPart(exchange)
        if (quarantinedPart != null) return false
        val purpose = if (runs == 0 && !retries.hasRefusals) SendPurpose.FIRST_ATTEMPT else SendPurpose.RETRY
        val placement =
            attempts.place(purpose) { context.placement.forGeneration(it, excluded, demand, engine, service) }
        retryAfterMillis =
            (placement as? Placement.Deferred)?.retryAfterMillis ?: ReplicaPlacement.FULL_GENERATIONS_MILLIS
        val replica = (placement as? Placement.Assigned)?.replica ?: return false
        retries.recordAttempt()
        current =
            attempts.create(replica, abandoned, purpose).also {
                it.start(scope)
                leavingWatch.start(it)
            }
        return true
    }

    private suspend fun fail(
        code: ResultCode,
        detail: String,
    ) {
        isFinished = true
        exchange.fail(code, detail)
    }

    private suspend fun refuse(
        proof: NotRunProof,
        code: ResultCode,
        detail: String,
    ) {
        isFinished = true
        quarantinedPart?.let { return exchange.refuseQuarantined(it) }
        exchange.refuse(proof, code, detail, context.retryAfterMillis(service) ?: retryAfterMillis)
    }

    private companion object {
        /** Interval between checks of a stream that delivers no events. */
        const val STALL_CHECK_MILLIS = 150L

        /** Several times the longest interval between events that still meets the latency objective. */
        const val STALL_MILLIS = 700L

        /** Interval between checks of two replicas that may work at the same time. */
        const val OVERLAP_CHECK_MILLIS = 40L
    }
}
