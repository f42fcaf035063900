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

/** One client's way to an [ObjectStoreModel], with faults of its own. Thread-safe. */
class StoreClient internal constructor(
    private val state: StoreState,
) : ObjectApi {
    private val own = MutableStateFlow(StoreFaults(latencyMillis = 0))
    private val answersToLose = AtomicInteger()

    /** Faults of this client; delays add to those of the store, probabilities combine. */
    var faults: StoreFaults
        get() = own.value
        set(value) {
            own.value = value
        }

    /** Loses the answers of the next [count] writes of this client after they took effect. */
    fun loseNextAnswers(count: Int) = answersToLose.set(count)

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
            val woken =
                withTimeoutOrNull(waitMillis) {
                    combine(state.objects.lastChange(kind), state.faults, own) { change, shared, mine ->
                        change > revision || shared.outage || mine.outage
                    }.first { it }
                }
            // A stale store shows the change that ended the wait only when it is old enough.
            if (woken != null && staleMillis() > 0) delay(staleMillis())
            when {
                isOut() -> noAnswer().left()
                woken == null -> ObjectListing(revision, persistentListOf()).right()
                else -> state.objects.list(kind, revision, staleMillis()).right()
            }
        }

    private suspend fun <T> read(
        call: CallMeter.Call,
        action: suspend () -> Either<Failure, T>,
    ): Either<Failure, T> {
        refusal(call)?.let { return it.left() }
        halfLatency()
        if (draws(StoreFaults::lostCallProbability)) return lose()
        val answer = action()
        halfLatency()
        return answer
    }

    private suspend fun <T> write(action: () -> Either<Failure, T>): Either<Failure, T> {
        refusal(CallMeter.Call.WRITE)?.let { return it.left() }
        halfLatency()
        return when {
            draws(StoreFaults::lostCallProbability) -> lose()
            draws(StoreFaults::lateWriteProbability) -> applyLate(action)
            else -> applyNow(action)
        }
    }

    private suspend fun <T> applyNow(action: () -> Either<Failure, T>): Either<Failure, T> {
        val answer = action()
        val orderedLoss = answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0
        if (orderedLoss || draws(StoreFaults::lostAnswerProbability)) return lose()
        halfLatency()
        return answer
    }

    private suspend fun <T> applyLate(action: () -> Either<Failure, T>): Either<Failure, T> {
        val lateBy = maxOf(state.faults.value.lateWriteMillis, own.value.lateWriteMillis)
        state.scope?.launch {
            delay(lateBy)
            action()
        }
        return lose()
    }

    private suspend fun refusal(call: CallMeter.Call): Failure? {
        val out = isOut()
        if (state.meter.admit(call, out)) return null
        if (!out) return Failure(ResultCode.PLATFORM_UNAVAILABLE, "call budget exceeded", BUDGET_RETRY_MILLIS)
        delay(failureMillis())
        return noAnswer()
    }

    private suspend fun lose(): Either<Failure, Nothing> {
        delay(failureMillis())
        return noAnswer().left()
    }

    private fun noAnswer() = Failure(ResultCode.PLATFORM_UNAVAILABLE, "the object store did not answer")

    private fun isOut() = state.faults.value.outage || own.value.outage

    private fun staleMillis() = maxOf(state.faults.value.staleMillis, own.value.staleMillis)

    private fun failureMillis() = maxOf(state.faults.value.failureMillis, own.value.failureMillis)

    private suspend fun halfLatency() {
        val mean = (state.faults.value.latencyMillis + own.value.latencyMillis) / 2.0
        delay(Math.round(mean * (MINIMUM_FACTOR + state.draw())))
    }

    private fun draws(probability: (StoreFaults) -> Double): Boolean {
        val survives = (1 - probability(state.faults.value)) * (1 - probability(own.value))
        return survives < 1.0 && state.draw() >= survives
    }

    private companion object {
        const val MINIMUM_FACTOR = 0.5
        const val BUDGET_RETRY_MILLIS = 1_000L
    }
}
