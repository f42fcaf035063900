package io.sequoiawheel.relay.serving

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.sequoiawheel.core.relay.EventSplitter
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.LeaveReason
import io.sequoiawheel.core.relay.NotRunProof
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.StreamEvent
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.backend.BackendConnection
import io.sequoiawheel.relay.backend.ConnectFailedException
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException

/** What an attempt, or the surroundings of a generation, tell its relay. */
internal sealed interface GenerationSignal {
    val attempt: GenerationAttempt

    /** The replica accepted the request and its stream begins. */
    class Began(
        override val attempt: GenerationAttempt,
        val head: HttpResponse,
    ) : GenerationSignal

    class Event(
        override val attempt: GenerationAttempt,
        val event: StreamEvent,
    ) : GenerationSignal

    /** The stream ended with its proper end. */
    class Completed(
        override val attempt: GenerationAttempt,
    ) : GenerationSignal

    /** The replica answered with a failure of its own. */
    class Failed(
        override val attempt: GenerationAttempt,
        val head: HttpResponse,
        val body: ByteArray,
    ) : GenerationSignal

    /**
     * The replica did not run the request.
     *
     * @property isWithheld whether it left, its zone was taken out, or it asked for quiet before the request was sent
     */
    class NotRun(
        override val attempt: GenerationAttempt,
        val proof: NotRunProof,
        val detail: String,
        val isWithheld: Boolean = false,
    ) : GenerationSignal

    /** The connection ended or brought nonsense; the run may go on at the replica or not. */
    class Broken(
        override val attempt: GenerationAttempt,
        val detail: String,
    ) : GenerationSignal

    class ReplicaLeaves(
        override val attempt: GenerationAttempt,
        val reason: LeaveReason,
    ) : GenerationSignal

    /** A copy of the run's memory is ready. */
    class CopyReady(
        override val attempt: GenerationAttempt,
        val copy: RunCopyAt,
    ) : GenerationSignal

    class CopyFailed(
        override val attempt: GenerationAttempt,
        val detail: String,
    ) : GenerationSignal
}

/**
 * One sending of a generation to one replica. It reports what happens as signals, and frees what it holds at its end.
 *
 * @property backup where the replica keeps a copy of the run while it grows, or null
 */
internal class GenerationAttempt(
    private val context: RelayContext,
    private val exchange: Exchange,
    val replica: Replica,
    private val demand: GenerationDemand,
    val backup: Replica?,
    private val headers: Map<String, String>,
    private val signals: SendChannel<GenerationSignal>,
) {
    private val requests = BackendRequests(context.clock)
    private var job: Job? = null
    private var connection: BackendConnection? = null
    private var isComplete = false

    /** Whether the replica has yet to read the prompt; a run that goes on from a copy reads little. */
    private var readsPrompt = Headers.CONTINUE_FROM !in headers

    /** Whether the replica's stream has begun. */
    var hasBegun = false
        private set

    /** Whether the attempt has ended, however it did. */
    val isOver: Boolean get() = job?.isCompleted ?: false

    /** Bytes since the last event that was the next one for the caller. */
    private var uselessBytes = 0

    /** When the last event that was the next one for the caller arrived, or the attempt began. */
    var lastEventMillis = context.clock.nowMillis()
        private set

    /** Records that an event of this attempt was the next one for the caller. */
    fun advanced() {
        lastEventMillis = context.clock.nowMillis()
        uselessBytes = 0
    }

    fun start(scope: CoroutineScope) {
        replica.load.begin(demand.tokens)
        if (readsPrompt) replica.load.beginPrompt(demand.promptTokens.toLong())
        backup?.load?.reserve(demand.tokens)
        job =
            scope.launch {
                try {
                    exchangeAll()
                } catch (failure: ConnectFailedException) {
                    replica.unreachable()
                    signals.trySend(
                        GenerationSignal.NotRun(
                            this@GenerationAttempt,
                            NotRunProof.NOTHING_SENT,
                            failure.message.orEmpty(),
                        ),
                    )
                } catch (failure: IOException) {
                    signals.trySend(
                        GenerationSignal.Broken(this@GenerationAttempt, "$replica: ${failure.message}"),
                    )
                } finally {
                    free()
                }
            }
    }

    /** Ends the attempt; the replica stops working on the run when its connection closes. */
    fun cancel() {
        job?.cancel()
        connection?.takeIf { !isComplete }?.abort()
    }

    private fun endPrompt() {
        if (readsPrompt) replica.load.endPrompt(demand.promptTokens.toLong())
        readsPrompt = false
    }

    private fun free() {
        endPrompt()
        replica.load.end(demand.tokens)
        backup?.load?.free(demand.tokens)
        connection?.let { if (isComplete) context.pool.release(replica, it) else it.abort() }
    }

    /**
     * Waits until a replica that keeps a copy takes requests again, as long as the caller may wait for the next event.
     */
    private suspend fun awaitQuietEnd() {
        if (!readsPrompt) delay(replica.quietMillis.takeIf { it <= COPY_WAIT_MILLIS } ?: 0)
    }

    private suspend fun exchangeAll() {
        awaitQuietEnd()
        val opened = context.pool.acquire(replica, mustBeRecent = true)
        connection = opened
        if (!opened.isOpen) {
            signals.trySend(GenerationSignal.NotRun(this, NotRunProof.NOTHING_SENT, "connection closed"))
            return
        }
        if (!context.mayReceive(replica)) {
            isComplete = true
            val detail = "$replica takes no generations any more"
            signals.trySend(GenerationSignal.NotRun(this, NotRunProof.NOTHING_SENT, detail, isWithheld = true))
            return
        }
        exchange.mayHaveRun = true
        opened.send(requests.build(exchange, replica, headers))
        val head = opened.receiveHead(exchange.requestId)
        val status = head.status().code()
        if (head.isNotRun) {
            if (head.isMisdirected) replica.leave(LeaveReason.REPLACED)
            val unreadable = opened.skipErrorBody()
            if (unreadable == null) isComplete = true else exchange.notes["refusalBody"] = unreadable
            signals.trySend(
                GenerationSignal.NotRun(this, NotRunProof.REFUSED_BY_REPLICA, "$replica refused with status $status"),
            )
            return
        }
        if (status !in SUCCESS) {
            val body = opened.receiveErrorBody()
            isComplete = true
            signals.trySend(GenerationSignal.Failed(this, head, body))
            return
        }
        if (!head.isSigned) throw IOException("a success without a signature")
        hasBegun = true
        endPrompt()
        lastEventMillis = context.clock.nowMillis()
        signals.trySend(GenerationSignal.Began(this, head))
        relayEvents(opened)
    }

    private suspend fun relayEvents(opened: BackendConnection) {
        val splitter = EventSplitter()
        while (true) {
            val content = opened.receiveContent()
            val isLast = content is LastHttpContent
            val bytes = ByteArray(content.content().readableBytes())
            content.content().readBytes(bytes)
            content.release()
            uselessBytes += bytes.size
            if (uselessBytes > USELESS_BYTES) throw IOException("$uselessBytes bytes without the next event")
            for (event in splitter.append(bytes)) {
                signals.trySend(GenerationSignal.Event(this, event))
            }
            exchange.response.awaitWritable()
            if (!isLast) continue
            if (splitter.pendingBytes > 0) throw IOException("the stream ended inside an event")
            isComplete = true
            signals.trySend(GenerationSignal.Completed(this))
            return
        }
    }

    private companion object {
        val SUCCESS = 200..299

        /** Callers of streams give up after a pause of two seconds at the earliest. */
        const val COPY_WAIT_MILLIS = 1_500L

        /** Some hundred events: a repeated run may send as many again before the next one. */
        const val USELESS_BYTES = 262_144
    }
}
