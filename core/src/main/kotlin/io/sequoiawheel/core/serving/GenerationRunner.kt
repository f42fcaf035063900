package io.sequoiawheel.core.serving

import arrow.core.getOrElse
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.WorkState
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Runs generations from placement to the last token. Every function returns an outcome; only the cancellation of the
 * calling coroutine is thrown. Thread-safe.
 *
 * @param scope where engines are told to cancel after the caller has its answer
 * @param generationIds makes identities that are unique in the deployment
 */
class GenerationRunner(
    private val engines: EngineGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val generationIds: (RequestId) -> RequestId,
) {
    /** The generations whose caller left. */
    val abandoned = AbandonedGenerations(scope, engines)

    /** Runs one generation from its first token. */
    suspend fun run(
        demand: Demand,
        sink: GenerationSink,
    ): GenerationOutcome {
        val run = Run(demand, sink)
        val remaining = demand.deadlineMillis - clock.nowMillis()
        return withTimeoutOrNull(remaining) { run.execute() } ?: run.onDeadline()
    }

    /** Continues [generation] at [replica] from [offset]. Room is still held by whoever started it. */
    suspend fun resume(
        replica: Instance,
        generation: RequestId,
        offset: Int,
        document: ServiceDocument,
        sink: GenerationSink,
    ): GenerationOutcome {
        val returnRoom = abandoned.reclaim(generation) ?: {}
        val announcing = AnnouncingSink(replica, generation, sink)
        val silenceLimit = document.deadlines.firstTokenMillis
        val stream = GenerationStream(engines, clock, replica, generation, offset, silenceLimit, announcing)
        val end =
            try {
                withTimeoutOrNull(document.deadlines.totalMillis) {
                    val end = stream.run(engines.resume(replica, generation, offset))
                    if (end == GenerationStream.End.Complete) announcing.announce()
                    end
                }
            } catch (error: CallerLeftException) {
                abandoned.add(replica, generation, document.resumeWindowMillis, returnRoom)
                return outcome(Failure(ResultCode.CANCELLED), stream, replica)
            } catch (error: CancellationException) {
                abandoned.add(replica, generation, document.resumeWindowMillis, returnRoom)
                throw error
            }
        returnRoom()
        return outcome(resumeFailure(end, stream.tokens > offset), stream, replica)
    }

    private fun resumeFailure(
        end: GenerationStream.End?,
        progressed: Boolean,
    ): Failure? =
        when (end) {
            null -> Failure(ResultCode.DEADLINE_AFTER_DISPATCH)
            GenerationStream.End.Complete -> null
            // The generation ran; only this connection was refused.
            is GenerationStream.End.Refused ->
                Failure(ResultCode.RESUME_UNAVAILABLE, retryAfterMillis = RESUME_RETRY_MILLIS)
            else -> Failure(if (progressed) ResultCode.STREAM_INTERRUPTED else ResultCode.RESUME_UNAVAILABLE)
        }

    private fun outcome(
        failure: Failure?,
        stream: GenerationStream,
        replica: Instance,
    ) = GenerationOutcome(failure, stream.tokens, replica.id, stream.stalledMillis, attempts = 1)

    private fun refusal(error: DispatchException) =
        Failure(error.code ?: ResultCode.BACKEND_REFUSED, retryAfterMillis = error.retryAfterMillis)

    private inner class Run(
        private val demand: Demand,
        private val sink: GenerationSink,
    ) {
        private val avoided = mutableSetOf<InstanceId>()
        private var attempts = 0
        private var queueMillis = 0L
        private var mayHaveRun = false
        private var mayHaveRunBefore = false
        private var placed: Placed? = null
        private var generation: RequestId? = null
        private var stream: GenerationStream? = null

        suspend fun execute(): GenerationOutcome =
            try {
                attemptUntilDone()
            } catch (error: CallerLeftException) {
                abandon()
                result(Failure(ResultCode.CANCELLED))
            }

        fun onDeadline(): GenerationOutcome {
            val code = if (mayHaveRun) ResultCode.DEADLINE_AFTER_DISPATCH else ResultCode.DEADLINE_BEFORE_DISPATCH
            return result(Failure(code))
        }

        private suspend fun attemptUntilDone(): GenerationOutcome {
            retries.onFirstAttempt(demand.document)
            while (true) {
                val failure = attempt() ?: return result(null)
                val retry = failure.isRetriable && !sink.delivered && mayRetry()
                if (!retry) return result(truthful(failure.failure))
                sink.onRestart()
                delay(retries.backoffMillis(attempts + 1))
            }
        }

        private fun mayRetry() =
            attempts < demand.document.retryBudget.maximumAttempts && retries.tryAcquire(demand.document)

        // After one attempt that may have run, a later refusal must not claim that nothing did.
        private fun truthful(failure: Failure): Failure {
            val claimsNothingRan = failure.code.work == WorkState.NOT_RUN
            if (!mayHaveRun || !claimsNothingRan) return failure
            return Failure(ResultCode.STREAM_INTERRUPTED, retryAfterMillis = failure.retryAfterMillis)
        }

        private suspend fun attempt(): AttemptFailure? {
            attempts++
            val room = placement.place(demand, avoided).getOrElse { return AttemptFailure(it, isRetriable = false) }
            queueMillis += room.queueMillis
            placed = room
            return try {
                concludeAttempt(room, dispatch(room))
            } catch (error: TimeoutCancellationException) {
                cancelAtEngine()
                throw error
            } catch (error: CancellationException) {
                // The caller's connection is gone; it may come back within the resume window.
                abandon()
                throw error
            } catch (error: CallerLeftException) {
                throw error
            } catch (error: Exception) {
                cancelAtEngine()
                throw error
            }
        }

        private suspend fun dispatch(room: Placed): GenerationStream.End {
            val id = generationIds(demand.requestId)
            generation = id
            sink.onAccepted(room.replica, id)
            mayHaveRunBefore = mayHaveRun
            mayHaveRun = true
            val limit = demand.document.deadlines.firstTokenMillis
            val reader = GenerationStream(engines, clock, room.replica, id, 0, limit, sink, room::onFirstToken)
            stream = reader
            return reader.run(engines.start(room.replica, engineRequest(id)))
        }

        private fun engineRequest(id: RequestId) =
            EngineRequest(
                generation = id,
                model = demand.model.orEmpty(),
                adapter = demand.adapter,
                prompt = demand.prompt,
                maximumTokens = demand.maximumTokens,
                priority = demand.priority,
            )

        private fun concludeAttempt(
            room: Placed,
            end: GenerationStream.End,
        ): AttemptFailure? {
            val tokens = stream?.tokens ?: 0
            avoided += room.replica.id
            return when (end) {
                GenerationStream.End.Complete -> {
                    room.finish(Placed.Verdict.COMPLETED, tokens)
                    null
                }

                is GenerationStream.End.Refused -> {
                    mayHaveRun = mayHaveRunBefore
                    room.finish(Placed.Verdict.REFUSED, 0)
                    AttemptFailure(refusal(end.error), isRetriable = true)
                }

                else -> {
                    loseAttempt(room, tokens)
                    AttemptFailure(Failure(ResultCode.STREAM_INTERRUPTED), isRetriable = true)
                }
            }
        }

        private fun loseAttempt(
            room: Placed,
            tokens: Int,
        ) {
            val id = generation ?: return
            scope.launch { engines.cancel(room.replica, id) }
            room.finish(Placed.Verdict.FAILED, tokens)
        }

        private fun cancelAtEngine() {
            val room = placed ?: return
            val id = generation ?: return
            val tokens = stream?.tokens ?: 0
            scope
                .launch { engines.cancel(room.replica, id) }
                .invokeOnCompletion { room.finish(Placed.Verdict.CANCELLED, tokens) }
        }

        private fun abandon() {
            val room = placed ?: return
            val id = generation ?: return
            val tokens = stream?.tokens ?: 0
            abandoned.add(room.replica, id, demand.document.resumeWindowMillis) {
                room.finish(Placed.Verdict.CANCELLED, tokens)
            }
        }

        private fun result(failure: Failure?) =
            GenerationOutcome(
                failure = failure,
                tokens = if (failure == null || sink.delivered) stream?.tokens ?: 0 else 0,
                replica = placed?.replica?.id,
                stallMillis = stream?.stalledMillis ?: 0,
                queueMillis = queueMillis,
                attempts = attempts,
            )
    }

    private class AttemptFailure(
        val failure: Failure,
        val isRetriable: Boolean,
    )

    private companion object {
        /** An engine whose link broke is usually back within this time. */
        const val RESUME_RETRY_MILLIS = 1_000L
    }
}
