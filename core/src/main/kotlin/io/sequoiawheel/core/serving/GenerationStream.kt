package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.stream.StallDetector
import io.sequoiawheel.core.stream.TokenSequencer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.transformWhile
import kotlinx.coroutines.launch

/**
 * Reads one generation from one replica to its end. A broken or silent connection is replaced by resuming from the next
 * offset at the same replica. Tokens pass from the connection to the sink without a buffer, so that a slow caller
 * blocks only its own connection.
 */
internal class GenerationStream(
    private val engines: EngineGateway,
    private val clock: Clock,
    private val replica: Instance,
    private val generation: RequestId,
    private val firstOffset: Int,
    private val silenceLimitMillis: Long,
    private val sink: GenerationSink,
    private val onFirstToken: (elapsedMillis: Long) -> Unit = {},
) {
    private val relay = TokenSequencer(generation, firstOffset)
    private val detector = StallDetector()

    /** The time since which the stream waits for the engine; [SINK_BUSY] while the sink processes a token. */
    @Volatile
    private var waitingSince = SINK_BUSY
    private var progressMillis = clock.nowMillis()
    private var timeoutFactor = 1L

    /** The number of tokens delivered to the sink, plus those before the first offset. */
    val tokens: Int get() = relay.nextOffset

    /** The total time so far by which gaps between tokens exceeded the expected ones. */
    val stalledMillis: Long get() = detector.stalledMillis

    /** Reads [connection] and then resumed connections until the generation ends or cannot be continued. */
    suspend fun run(connection: Flow<EngineEvent>): End {
        var end = read(connection)
        if (end is End.Refused) return end
        var failures = 0
        while (end is End.Broken) {
            val silentMillis = clock.nowMillis() - progressMillis
            if (end.progressed || end.silent) failures = 0
            if (!end.silent) failures++
            if (failures > MAXIMUM_FAILED_RESUMES) return End.Lost("the connection was lost and not restored")
            if (silentMillis > silenceLimitMillis) return End.Lost("the engine sent nothing for $silentMillis ms")
            if (failures > 1) delay(RESUME_DELAY_MILLIS shl failures)
            end = read(engines.resume(replica, generation, relay.nextOffset)).afterResume()
        }
        return end
    }

    // A refused resume applies only to the connection and does not show that the generation did not run.
    private fun End.afterResume(): End = if (this is End.Refused) End.Broken(progressed = false) else this

    private suspend fun read(connection: Flow<EngineEvent>): End =
        coroutineScope {
            val offsetBefore = relay.nextOffset
            waitingSince = clock.nowMillis()
            val reader = async { collect(connection, offsetBefore) }
            val watchdog =
                launch {
                    awaitSilence()
                    reader.cancel(SilenceException())
                }
            try {
                reader.await()
            } catch (silence: SilenceException) {
                silentEnd(offsetBefore)
            } finally {
                watchdog.cancel()
            }
        }

    private fun silentEnd(offsetBefore: Int): End {
        val progressed = relay.nextOffset > offsetBefore
        timeoutFactor = if (progressed) 1 else (timeoutFactor * 2).coerceAtMost(MAXIMUM_TIMEOUT_FACTOR)
        return End.Broken(progressed, silent = true)
    }

    /** Returns once the engine has been silent for the timeout. Uses one timer per timeout instead of one per token. */
    private suspend fun awaitSilence() {
        while (true) {
            val timeout = detector.timeoutMillis * timeoutFactor
            val since = waitingSince
            val remaining = if (since == SINK_BUSY) timeout else since + timeout - clock.nowMillis()
            if (remaining <= 0) return
            delay(remaining)
        }
    }

    private suspend fun collect(
        connection: Flow<EngineEvent>,
        offsetBefore: Int,
    ): End {
        var step = TokenSequencer.Action.GAP
        return try {
            connection
                .transformWhile<EngineEvent, Unit> { event ->
                    step = handle(event)
                    step == TokenSequencer.Action.RELEASE || step == TokenSequencer.Action.DUPLICATE
                }.collect {}
            if (step == TokenSequencer.Action.COMPLETE) End.Complete else End.Broken(relay.nextOffset > offsetBefore)
        } catch (error: DispatchException) {
            endOf(error, relay.nextOffset > offsetBefore)
        }
    }

    private fun endOf(
        error: DispatchException,
        progressed: Boolean,
    ): End =
        when (error.outcome) {
            DispatchException.Outcome.NOT_RUN -> End.Refused(error)
            DispatchException.Outcome.GONE -> End.Gone
            DispatchException.Outcome.UNKNOWN -> End.Broken(progressed)
        }

    private suspend fun handle(event: EngineEvent): TokenSequencer.Action {
        val step = relay.accept(event)
        if (step == TokenSequencer.Action.RELEASE && event is EngineEvent.Token) deliver(event)
        return step
    }

    private suspend fun deliver(token: EngineEvent.Token) {
        val arrival = clock.nowMillis()
        detector.onToken(arrival)
        if (token.offset == firstOffset) onFirstToken(arrival - progressMillis)
        waitingSince = SINK_BUSY
        sink.onToken(token.offset, token.text)
        val delivered = clock.nowMillis()
        if (delivered - arrival > SLOW_SINK_MILLIS) detector.ignoreNextGap()
        progressMillis = delivered
        waitingSince = delivered
    }

    /** How reading a generation ended. */
    sealed interface End {
        /** Every token was delivered. */
        data object Complete : End

        /** The replica did not accept the generation. */
        data class Refused(
            val error: DispatchException,
        ) : End

        /** The replica no longer has the generation. */
        data object Gone : End

        /** The replica cannot be reached or stays silent. */
        data class Lost(
            val reason: String,
        ) : End

        /** A connection ended early; never returned from [run]. */
        data class Broken(
            val progressed: Boolean,
            val silent: Boolean = false,
        ) : End
    }

    private class SilenceException : CancellationException("the engine sent nothing within the timeout")

    private companion object {
        const val SINK_BUSY = Long.MIN_VALUE

        // Five attempts over about 1.5 s outlast the restart of a switch port, but not that of a process.
        const val MAXIMUM_FAILED_RESUMES = 5
        const val RESUME_DELAY_MILLIS = 25L

        // An engine that preempted a generation sends nothing although the connection works.
        const val MAXIMUM_TIMEOUT_FACTOR = 8L
        const val SLOW_SINK_MILLIS = 5L
    }
}
