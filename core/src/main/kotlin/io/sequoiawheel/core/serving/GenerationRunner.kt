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
 * Runs generations from placement to the last token. Every function returns an outcome and throws only if the calling
 * coroutine is cancelled. Thread-safe.
 *
 * @param scope the scope in which generations are cancelled at engines after the caller has its answer
 * @param generationIds creates ids that are unique in the deployment
 */
class GenerationRunner(
    private val engines: EngineGateway,
    private val placement: Placement,
    private val retries: Retries,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val generationIds: (RequestId) -> RequestId,
) {
    /** The generations whose caller has disconnected. */
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

    /**
     * Continues [generation] at [replica] from [offset]. The entry instance that started it still holds its capacity.
     */
    suspend fun resume(
        replica: Instance,
        generation: RequestId,
        offset: Int,
        document: ServiceDocument,
        sink: GenerationSink,
    ): GenerationOutcome {
        val releaseCapacity = abandoned.reclaim(generation) ?: {}
        val announcingSink = AnnouncingSink(replica, generation, sink)
        val silenceLimit = document.deadlines.firstTokenMillis
        val stream = GenerationStream(engines, clock, replica, generation, offset, silenceLimit, announcingSink)
        val end =
            try {
                withTimeoutOrNull(document.deadlines.totalMillis) {
                    val end = stream.run(engines.resume(replica, generation, offset))
                    if (end == GenerationStream.End.Complete) announcingSink.announce()
                    end
                }
            } catch (error: CallerDisconnectedException) {
                abandoned.add(replica, generation, document.resumeWindowMillis, releaseCapacity)
                return outcome(Failure(ResultCode.CANCELLED), stream, replica)
            } catch (error: CancellationException) {
                abandoned.add(replica, generation, document.resumeWindowMillis, releaseCapacity)
                throw error
            }
        releaseCapacity()
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
        private val avoidedReplicas = mutableSetOf<InstanceId>()
        private var attempts = 0
        private var queueMillis = 0L
        private var mayHaveRun = false
        private var mayHaveRunBefore = false
        private var placed: PlacedRequest? = null
        private var generation: RequestId? = null
        private var stream: GenerationStream? = null

        suspend fun execute(): GenerationOutcome =
            try {
                attemptUntilDone()
            } catch (error: CallerDisconnectedException) {
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
                if (!retry) return result(reportableFailure(failure.failure))
                sink.onRestart()
                delay(retries.backoffMillis(attempts + 1))
            }
        }

        private fun mayRetry() =
            attempts < demand.document.retryBudget.maximumAttempts && retries.tryAcquire(demand.document)

        // After one attempt that may have run, a later refusal must not claim that nothing did.
        private fun reportableFailure(failure: Failure): Failure {
            val claimsNothingRan = failure.code.work == WorkState.NOT_RUN
            if (!mayHaveRun || !claimsNothingRan) return failure
            return Failure(ResultCode.STREAM_INTERRUPTED, retryAfterMillis = failure.retryAfterMillis)
        }

        private suspend fun attempt(): AttemptFailure? {
            attempts++
            val placedRequest =
                placement.place(demand, avoidedReplicas).getOrElse {
                    return AttemptFailure(it, isRetriable = false)
                }
            queueMillis += placedRequest.queueMillis
            placed = placedRequest
            return try {
                concludeAttempt(placedRequest, dispatch(placedRequest))
            } catch (error: TimeoutCancellationException) {
                cancelAtEngine()
                throw error
            } catch (error: CancellationException) {
                // The caller has disconnected and may resume the generation within the resume window.
                abandon()
                throw error
            } catch (error: CallerDisconnectedException) {
                throw error
            } catch (error: Exception) {
                cancelAtEngine()
                throw error
            }
        }

        private suspend fun dispatch(placedRequest: PlacedRequest): GenerationStream.End {
            val id = generationIds(demand.requestId)
            generation = id
            sink.onAccepted(placedRequest.replica, id)
            mayHaveRunBefore = mayHaveRun
            mayHaveRun = true
            val limit = demand.document.deadlines.firstTokenMillis
            val reader =
                GenerationStream(engines, clock, placedRequest.replica, id, 0, limit, sink, placedRequest::onFirstToken)
            stream = reader
            return reader.run(engines.start(placedRequest.replica, engineRequest(id)))
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
            placedRequest: PlacedRequest,
            end: GenerationStream.End,
        ): AttemptFailure? {
            val tokens = stream?.tokens ?: 0
            avoidedReplicas += placedRequest.replica.id
            return when (end) {
                GenerationStream.End.Complete -> {
                    placedRequest.finish(PlacedRequest.Verdict.COMPLETED, tokens)
                    null
                }

                is GenerationStream.End.Refused -> {
                    mayHaveRun = mayHaveRunBefore
                    placedRequest.finish(PlacedRequest.Verdict.REFUSED, 0)
                    AttemptFailure(refusal(end.error), isRetriable = true)
                }

                else -> {
                    failAttempt(placedRequest, tokens)
                    AttemptFailure(Failure(ResultCode.STREAM_INTERRUPTED), isRetriable = true)
                }
            }
        }

        private fun failAttempt(
            placedRequest: PlacedRequest,
            tokens: Int,
        ) {
            val id = generation ?: return
            scope.launch { engines.cancel(placedRequest.replica, id) }
            placedRequest.finish(PlacedRequest.Verdict.FAILED, tokens)
        }

        private fun cancelAtEngine() {
            val placedRequest = placed ?: return
            val id = generation ?: return
            val tokens = stream?.tokens ?: 0
            scope
                .launch { engines.cancel(placedRequest.replica, id) }
                .invokeOnCompletion { placedRequest.finish(PlacedRequest.Verdict.CANCELLED, tokens) }
        }

        private fun abandon() {
            val placedRequest = placed ?: return
            val id = generation ?: return
            val tokens = stream?.tokens ?: 0
            abandoned.add(placedRequest.replica, id, demand.document.resumeWindowMillis) {
                placedRequest.finish(PlacedRequest.Verdict.CANCELLED, tokens)
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
        /** An engine whose connection broke is usually reachable again within this time. */
        const val RESUME_RETRY_MILLIS = 1_000L
    }
}
