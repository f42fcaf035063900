package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.core.relay.EventSplitter
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.PeerWork
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaStream
import io.sequoiawheel.core.relay.RunDecision
import io.sequoiawheel.core.relay.StreamEvent
import io.sequoiawheel.core.rollout.RolloutObservation
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.backend.BackendConnection
import io.sequoiawheel.relay.backend.ConnectFailedException
import io.sequoiawheel.relay.backend.ConnectionEndedException
import io.sequoiawheel.relay.backend.EmbeddedHead
import io.sequoiawheel.relay.backend.InvalidResponseException
import io.sequoiawheel.relay.filter.Exchange
import io.sequoiawheel.relay.filter.SendRecord
import io.sequoiawheel.relay.internal.launchAndRelease
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import java.io.IOException

/** A notification to a [GenerationRun], sent by one of its attempts, by a copy job or by a replica that is leaving. */
internal sealed interface GenerationSignal {
    val attempt: GenerationAttempt

    /** Why the attempt failed, or null if it did not. */
    val failure: AttemptFailure? get() = null

    /** The replica accepted the request and its response stream started. */
    class Started(
        override val attempt: GenerationAttempt,
        val head: HttpResponse,
    ) : GenerationSignal

    /**
     * Events that were received together.
     *
     * @property handled completed by the receiver when the attempt may read on
     */
    class Events(
        override val attempt: GenerationAttempt,
        val events: List<StreamEvent>,
        val handled: CompletableDeferred<Unit>,
    ) : GenerationSignal

    /** The stream was terminated properly. */
    class Completed(
        override val attempt: GenerationAttempt,
    ) : GenerationSignal

    /** The replica responded with an error status. */
    class Failed(
        override val attempt: GenerationAttempt,
        val head: HttpResponse,
        val body: ByteArray,
    ) : GenerationSignal {
        override val failure get() = AttemptFailure(FailureCause.ERROR_RESPONSE, "responded with ${head.status()}")
    }

    /**
     * The replica did not run the request.
     *
     * @property isUnavailable whether nothing was sent because the replica accepted no requests at the time
     * @property isReusedConnection whether the connection had carried another request before
     */
    class NotRun(
        override val attempt: GenerationAttempt,
        val proof: NotRunProof,
        val detail: String,
        val isUnavailable: Boolean = false,
        val isReusedConnection: Boolean = false,
    ) : GenerationSignal {
        override val failure get() = AttemptFailure(FailureCause.REFUSAL, detail)
    }

    /** The connection closed or delivered invalid data; the replica may or may not still be running the request. */
    class ConnectionFailed(
        override val attempt: GenerationAttempt,
        val detail: String,
        private val cause: FailureCause = FailureCause.CONNECTION,
    ) : GenerationSignal {
        override val failure get() = AttemptFailure(cause, detail)
    }

    /**
     * The run of an attempt whose connection failed was asked to stop.
     *
     * @property decision whether the generation goes on elsewhere, or ends
     */
    class SourceStopped(
        override val attempt: GenerationAttempt,
        val detail: String,
        val decision: RunDecision,
    ) : GenerationSignal

    class ReplicaLeaving(
        override val attempt: GenerationAttempt,
        val reason: LeaveReason,
    ) : GenerationSignal

    /** A copy of the run's KV cache is available on another replica. */
    class CopyReady(
        override val attempt: GenerationAttempt,
        val copy: PlacedRunCopy,
    ) : GenerationSignal

    class CopyFailed(
        override val attempt: GenerationAttempt,
        val detail: String,
    ) : GenerationSignal
}

/**
 * One attempt to run a generation on one replica. It reports its progress as signals and releases its connection and
 * its reserved load when it ends.
 *
 * @property backup the replica that is to receive a continuously updated copy of the run, or null
 * @property stream decides which of the attempt's events are delivered
 * @param headers headers to add to the caller's request
 * @param pace observes the time between the events
 */
internal class GenerationAttempt(
    private val context: RelayContext,
    private val exchange: Exchange,
    val replica: Replica,
    private val demand: GenerationDemand,
    val backup: Replica?,
    val stream: ReplicaStream,
    private val headers: Map<String, String>,
    private val pace: StreamPace,
    private val purpose: SendPurpose,
    private val signals: SendChannel<GenerationSignal>,
) {
    private val requests = BackendRequests(context.clock)
    private var job: Job? = null
    private var connection: BackendConnection? = null
    private var observation: RolloutObservation? = null

    /** When the request was sent, or null if no byte of it was. */
    var sentMillis: Long? = null
        private set

    /** Whether any byte of the request may have been sent. */
    val isSent: Boolean get() = sentMillis != null

    /** Whether the whole response was received, which proves that the replica does not work on the request any more. */
    var isExchangeComplete = false
        private set
    private val cause = exchange.sendLog.takeCause()
    private var sendRecord: SendRecord? = null

    /** When the response stream started, or null. */
    private var begunMillis: Long? = null

    /** Whether the replica has yet to process the prompt; a run that continues from a copy skips most of it. */
    private var needsPrefill = Headers.CONTINUE_FROM !in headers

    /** Whether the replica's response stream has started. */
    val hasStarted: Boolean get() = begunMillis != null

    /** Whether the attempt has ended, successfully or not. */
    val isFinished: Boolean get() = job?.isCompleted ?: false

    /** Bytes received since the last event that advanced the delivered stream; a short event counts for more. */
    private var staleBytes = 0

    /** When the last event that advanced the delivered stream arrived, or the response stream or attempt started. */
    var lastProgressMillis = context.clock.nowMillis()
        private set

    /** Records that an event of this attempt advanced the delivered stream. */
    fun recordProgress() {
        lastProgressMillis = context.clock.nowMillis()
        staleBytes = 0
        begunMillis?.let { context.outcomes.recordProgress(exchange, replica, it) }
    }

    /** Marks the run for the log as left by its stream. */
    fun recordLeft() {
        sendRecord?.isLeft = true
    }

    fun start(scope: CoroutineScope) {
        replica.load.begin(demand.tokens)
        val promptTokens = if (needsPrefill) demand.promptTokens.toLong() else 0
        replica.load.beginPrompt(promptTokens)
        context.onGenerationStart(replica, PeerWork(1, demand.tokens, promptTokens))
        backup?.load?.reserve(demand.tokens)
        job =
            scope.launchAndRelease(::releaseResources) {
                try {
                    sendAndReceive()
                } catch (failure: ConnectFailedException) {
                    replica.markUnreachable()
                    signals.trySend(
                        GenerationSignal.NotRun(
                            this@GenerationAttempt,
                            NotRunProof.NOTHING_SENT,
                            failure.message.orEmpty(),
                        ),
                    )
                } catch (ended: ConnectionEndedException) {
                    observation?.recordFailure()
                    if (isSent) context.outcomes.recordLoss(exchange, replica, begunMillis)
                    reportConnectionFailure(ended)
                } catch (failure: IOException) {
                    observation?.recordFailure()
                    reportConnectionFailure(failure)
                }
            }
    }

    private fun reportConnectionFailure(failure: IOException) {
        signals.trySend(GenerationSignal.ConnectionFailed(this, "$replica: ${failure.message}"))
    }

    /** Cancels the attempt; closing its connection makes most replicas stop the run. */
    fun cancel() {
        job?.cancel()
        connection?.takeIf { !isExchangeComplete }?.abort()
    }

    /** Cancels the attempt because its stream does not continue the response, and returns the signal of its failure. */
    fun rejectStream(detail: String): GenerationSignal.ConnectionFailed {
        observation?.recordFailure()
        cancel()
        return GenerationSignal.ConnectionFailed(this, "$replica: $detail", FailureCause.INVALID_STREAM)
    }

    private fun finishPrefill() {
        if (needsPrefill) replica.load.endPrompt(demand.promptTokens.toLong())
        needsPrefill = false
    }

    private fun releaseResources() {
        observation?.end()
        finishPrefill()
        replica.load.end(demand.tokens)
        backup?.load?.release(demand.tokens)
        connection?.let { if (isExchangeComplete) context.pool.release(replica, it) else it.abort() }
    }

    /**
     * Waits until a replica that holds a copy of the run accepts requests again, if that is soon enough for the caller.
     */
    private suspend fun awaitAcceptance() {
        if (!needsPrefill) delay(context.waitMillis(replica).takeIf { it <= MAXIMUM_ACCEPTANCE_WAIT_MILLIS } ?: 0)
    }

    private suspend fun sendAndReceive() {
        awaitAcceptance()
        val opened = context.pool.acquire(replica, exchange.requestId, mustBeRecent = true)
        connection = opened
        if (!opened.isOpen) {
            signals.trySend(GenerationSignal.NotRun(this, NotRunProof.NOTHING_SENT, "connection closed"))
            return
        }
        if (!context.tryAdmit(replica, purpose, exchange)) {
            isExchangeComplete = true
            val detail = "$replica no longer accepts generations"
            signals.trySend(
                GenerationSignal.NotRun(this, NotRunProof.NOTHING_SENT, detail, isUnavailable = true),
            )
            return
        }
        exchange.mayHaveRun = true
        exchange.sends++
        observation = context.observe(exchange, replica)
        opened.send(requests.build(exchange, replica, headers), exchange.response.accounts.buffers)
        sentMillis = context.clock.nowMillis()
        sendRecord = exchange.sendLog.add(replica, purpose.label, cause, opened.trace)
        val head = opened.receiveHead(exchange.requestId)
        val status = head.status().code()
        if (head.isMisdirected) replica.leave(LeaveReason.REPLACED)
        if (head.isContradictory) throw IOException("status $status and the statement that the request did not run")
        if (head.isNotRun) {
            val bodyError = opened.skipErrorBody()
            if (opened.isContradicted) throw IOException("refused the request and responded to it once more")
            if (bodyError == null) isExchangeComplete = true else exchange.logFields["refusalBody"] = bodyError
            val detail = "$replica refused with status $status"
            signals.trySend(
                GenerationSignal.NotRun(
                    this,
                    NotRunProof.REFUSED_BY_REPLICA,
                    detail,
                    isReusedConnection = opened.isReused,
                ),
            )
            return
        }
        if (status !in SUCCESS) {
            if (status >= SERVER_ERROR) observation?.recordFailure() else observation?.recordFirstEvent()
            val body = opened.receiveErrorBody()
            isExchangeComplete = true
            signals.trySend(GenerationSignal.Failed(this, head, body))
            return
        }
        if (!head.isSigned) throw IOException("success response without a signature")
        if (!head.canContinue(exchange.response)) throw IOException("response of another status or media type")
        finishPrefill()
        lastProgressMillis = context.clock.nowMillis()
        begunMillis = lastProgressMillis
        signals.trySend(GenerationSignal.Started(this, head))
        relayEvents(opened)
    }

    private suspend fun relayEvents(opened: BackendConnection) {
        val splitter = EventSplitter(keepsByteOrderMark = !exchange.response.isStarted)
        var hasEvents = false
        while (true) {
            val content = opened.receiveContent()
            val isLast = content is LastHttpContent
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            content.release()
            val received = splitter.append(bytes)
            staleBytes += maxOf(bytes.size, received.size * MINIMUM_EVENT_BYTES)
            if (staleBytes > MAXIMUM_STALE_BYTES) throw IOException("$staleBytes bytes received without the next event")
            // An event that was broken off within a line takes the head of another response for further fields.
            val foreign = received.indexOfFirst { event -> EmbeddedHead.allIn(event.bytes).any { it.namesRequest } }
            val events = if (foreign < 0) received else received.subList(0, foreign)
            if (events.isNotEmpty()) {
                hasEvents = true
                observation?.recordEvents(events.size)
                val handled = CompletableDeferred<Unit>()
                signals.trySend(GenerationSignal.Events(this, events, handled))
                pace.recordEvents(events.size)
                handled.await()
                pace.recordDelivery()
            }
            if (foreign >= 0) throw InvalidResponseException("another response within an event")
            if (!isLast) continue
            requireWhole(opened, splitter, hasEvents)
            isExchangeComplete = true
            begunMillis?.let { context.outcomes.recordCompletion(exchange, replica, it, opened.isFramed) }
            signals.trySend(GenerationSignal.Completed(this))
            return
        }
    }

    /** Throws if the stream that ended was broken off, as far as that can be told from what was received. */
    private fun requireWhole(
        opened: BackendConnection,
        splitter: EventSplitter,
        hasEvents: Boolean,
    ) {
        // Without framing, a connection that closes after the head looks like an empty stream.
        val mayBeEmpty = opened.isFramed || exchange.lastEventId != null || Headers.LAST_EVENT_ID in headers
        val place =
            when {
                splitter.pendingBytes > 0 -> "inside an event"
                !hasEvents && !mayBeEmpty -> "before its first event"
                else -> return
            }
        throw ConnectionEndedException("the stream ended $place", isReset = false)
    }

    private companion object {
        val SUCCESS = 200..299
        const val SERVER_ERROR = 500

        /** Streaming callers time out after two seconds without an event at the earliest. */
        const val MAXIMUM_ACCEPTANCE_WAIT_MILLIS = 1_500L

        /** A few hundred events: a restarted run may resend that many before the first new one. */
        const val MAXIMUM_STALE_BYTES = 262_144

        /** What the handling of an event costs, however short it is, as a number of bytes. */
        const val MINIMUM_EVENT_BYTES = 64
    }
}
