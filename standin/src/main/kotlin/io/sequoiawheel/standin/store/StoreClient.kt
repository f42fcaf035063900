package io.sequoiawheel.standin.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger

/** A client of an [ObjectStoreModel] with its own faults. Thread-safe. */
class StoreClient internal constructor(
    private val state: StoreState,
) : ObjectApi {
    private val clientFaults = MutableStateFlow(StoreFaults(latencyMillis = 0))
    private val pendingAnswerLosses = AtomicInteger()

    /**
     * Faults of this client. They combine with the faults of the store: latencies add up, and the probabilities are
     * treated as independent.
     */
    var faults: StoreFaults
        get() = clientFaults.value
        set(value) {
            clientFaults.value = value
        }

    /** Loses the answers of the next [count] writes of this client after the writes took effect. */
    fun loseNextAnswers(count: Int) = pendingAnswerLosses.set(count)

    override suspend fun get(key: ObjectKey): Either<Failure, StoredObject> =
        read(CallMeter.Call.READ) { state.objects.get(key, staleMillis()) }

    override suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing> =
        read(CallMeter.Call.READ) { state.objects.list(kind, 0, staleMillis()).right() }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long> = write { state.objects.put(key, value, expectedVersion) }

    override suspend fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit> = write { state.objects.delete(key, expectedVersion) }

    override suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
    ): Either<Failure, ObjectListing> =
        read(CallMeter.Call.WATCH) {
            val hasChanged =
                withTimeoutOrNull(waitMillis) {
                    combine(state.objects.lastChange(kind), state.faults, clientFaults) { change, shared, own ->
                        change > revision || shared.outage || own.outage
                    }.first { it }
                }
            // A stale read returns the change that ended the wait only once the change is old enough.
            if (hasChanged != null && staleMillis() > 0) delay(staleMillis())
            when {
                isOutage() -> noAnswerFailure().left()
                hasChanged == null -> ObjectListing(revision, persistentListOf()).right()
                else -> state.objects.list(kind, revision, staleMillis()).right()
            }
        }

    private suspend fun <T> read(
        call: CallMeter.Call,
        action: suspend () -> Either<Failure, T>,
    ): Either<Failure, T> {
        refusal(call)?.let { return it.left() }
        halfLatency()
        if (occurs(StoreFaults::lostCallProbability)) return failWithoutAnswer()
        val answer = action()
        halfLatency()
        return answer
    }

    private suspend fun <T> write(action: () -> Either<Failure, T>): Either<Failure, T> {
        refusal(CallMeter.Call.WRITE)?.let { return it.left() }
        halfLatency()
        return when {
            occurs(StoreFaults::lostCallProbability) -> failWithoutAnswer()
            occurs(StoreFaults::lateWriteProbability) -> applyLate(action)
            else -> applyNow(action)
        }
    }

    private suspend fun <T> applyNow(action: () -> Either<Failure, T>): Either<Failure, T> {
        val answer = action()
        val isInjectedLoss = pendingAnswerLosses.getAndUpdate { maxOf(0, it - 1) } > 0
        if (isInjectedLoss || occurs(StoreFaults::lostAnswerProbability)) return failWithoutAnswer()
        halfLatency()
        return answer
    }

    private suspend fun <T> applyLate(action: () -> Either<Failure, T>): Either<Failure, T> {
        val delayMillis = maxOf(state.faults.value.lateWriteMillis, clientFaults.value.lateWriteMillis)
        state.scope?.launch {
            delay(delayMillis)
            action()
        }
        return failWithoutAnswer()
    }

    private suspend fun refusal(call: CallMeter.Call): Failure? {
        val outage = isOutage()
        if (state.meter.admit(call, outage)) return null
        if (!outage) return Failure(ResultCode.PLATFORM_UNAVAILABLE, "call budget exceeded", BUDGET_RETRY_MILLIS)
        delay(failureMillis())
        return noAnswerFailure()
    }

    private suspend fun failWithoutAnswer(): Either<Failure, Nothing> {
        delay(failureMillis())
        return noAnswerFailure().left()
    }

    private fun noAnswerFailure() = Failure(ResultCode.PLATFORM_UNAVAILABLE, "the object store did not answer")

    private fun isOutage() = state.faults.value.outage || clientFaults.value.outage

    private fun staleMillis() = maxOf(state.faults.value.staleMillis, clientFaults.value.staleMillis)

    private fun failureMillis() = maxOf(state.faults.value.failureMillis, clientFaults.value.failureMillis)

    private suspend fun halfLatency() {
        val mean = (state.faults.value.latencyMillis + clientFaults.value.latencyMillis) / 2.0
        delay(Math.round(mean * (MINIMUM_LATENCY_FACTOR + state.nextRandom())))
    }

    private fun occurs(probability: (StoreFaults) -> Double): Boolean {
        val noneProbability = (1 - probability(state.faults.value)) * (1 - probability(clientFaults.value))
        return noneProbability < 1.0 && state.nextRandom() >= noneProbability
    }

    private companion object {
        const val MINIMUM_LATENCY_FACTOR = 0.5
        const val BUDGET_RETRY_MILLIS = 1_000L
    }
}
