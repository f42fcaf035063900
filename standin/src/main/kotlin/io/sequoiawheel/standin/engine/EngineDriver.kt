package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.standin.server.BackendObserver
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.concurrent.ConcurrentHashMap

/**
 * Advances one [EngineModel] in real time and makes its tokens readable at the end of each step. It is thread-safe.
 *
 * @param clock real time in milliseconds
 * @param timeScale how much faster than real time the engine works; 1.0 is real time
 * @param onCrash called when the engine fails by itself
 */
class EngineDriver(
    private val model: EngineModel,
    private val clock: Clock,
    private val timeScale: Double,
    private val onCrash: () -> Unit,
    private val observer: BackendObserver = BackendObserver,
) {
    private val mutex = Mutex()
    private val submitted = Channel<Unit>(Channel.CONFLATED)
    private val logs = ConcurrentHashMap<RequestId, MutableStateFlow<GenerationLog>>()

    init {
        require(timeScale > 0) { "timeScale must be positive" }
    }

    /** What this engine produced for each generation since it was made; a repeated id shows its last run. */
    val generations: List<GenerationLog> get() = logs.values.map { it.value }

    /** Starts to step the model in [scope]. */
    fun launchIn(scope: CoroutineScope): Job = scope.launch { run() }

    /** Hands in a generation and lets the engine work on it. */
    suspend fun submit(request: ModelRequest): Submission {
        val submission =
            mutex.withLock {
                model.submit(request, now()).also {
                    if (it == Submission.ACCEPTED) openLog(request.generation)
                }
            }
        submitted.trySend(Unit)
        return submission
    }

    /** Returns the progress of a generation that can still be read, or null. */
    suspend fun progress(generation: RequestId): StateFlow<GenerationLog>? =
        mutex.withLock { model.status(generation, now()) }?.let { logs[generation] }

    /** Stops a generation; an unknown or finished one is ignored. */
    suspend fun cancel(generation: RequestId) {
        mutex.withLock { model.cancel(generation) }
        end(generation, GenerationLog.End.CANCELLED)
    }

    /** Returns the load report of the engine. */
    suspend fun loadReport(): LoadReport = mutex.withLock { model.loadReport(now()) }

    /** Returns the cache events after number [after]. */
    suspend fun cacheEvents(after: Long): List<CacheEvent> = mutex.withLock { model.cacheEvents(after, now()) }

    /** Takes an order; returns false if its fencing number is old and the engine checks it. */
    suspend fun takeOrder(
        target: String,
        fencing: Long,
        desired: String,
    ): Boolean = mutex.withLock { model.takeOrder(target, fencing, desired, now()) }

    /** Returns the orders taken so far. */
    suspend fun orders(): List<EngineOrder> = mutex.withLock { model.orders(now()) }

    /** Makes the engine cold without a restart. */
    suspend fun turnCold() = mutex.withLock { model.turnCold() }

    /** Fails the process of the engine: its generations are lost. */
    suspend fun crash() = publish(mutex.withLock { model.crash(now()) })

    private fun openLog(generation: RequestId) {
        val starts = logs[generation]?.value?.starts ?: 0
        logs[generation] = MutableStateFlow(GenerationLog(generation, starts = starts + 1))
        observer.onStart(generation)
    }

    private suspend fun run() {
        var plannedEnd = now().toDouble()
        while (currentCoroutineContext().isActive) {
            val start = maxOf(plannedEnd, now() - MAXIMUM_BACKLOG_MILLIS)
            val result = mutex.withLock { model.step(start.toLong()) }
            if (result.events.any { it is ModelEvent.Lost }) {
                publish(result.events)
                return onCrash()
            }
            if (result.isIdle) {
                submitted.receive()
                plannedEnd = now().toDouble()
                continue
            }
            plannedEnd = start + result.durationMillis
            delayUntil(plannedEnd)
            publish(result.events)
        }
    }

    private suspend fun delayUntil(modelMillis: Double) {
        val remaining = (modelMillis - now()) / timeScale
        if (remaining > 0) delay(remaining.toLong())
    }

    private fun publish(events: List<ModelEvent>) =
        events.forEach { event ->
            when (event) {
                is ModelEvent.Token -> extend(event.generation, event.offset + 1)
                is ModelEvent.Done -> end(event.generation, GenerationLog.End.DONE)
                is ModelEvent.Lost -> end(event.generation, GenerationLog.End.LOST)
                is ModelEvent.Preempted -> Unit
            }
        }

    private fun extend(
        generation: RequestId,
        tokens: Int,
    ) {
        val log = logs[generation] ?: return
        if (log.value.end != null) return
        observer.onToken(generation, tokens - 1, EngineModel.tokenText(generation, tokens - 1))
        log.update { if (it.end == null) it.copy(tokens = tokens) else it }
    }

    private fun end(
        generation: RequestId,
        end: GenerationLog.End,
    ) {
        val log = logs[generation] ?: return
        val before = log.getAndUpdate { if (it.end == null) it.copy(end = end) else it }
        if (before.end == null) observer.onEnd(generation, null)
    }

    private fun now(): Long = (clock.nowMillis() * timeScale).toLong()

    private companion object {
        /** After a pause of the process the engine catches up at most this much model time at once. */
        const val MAXIMUM_BACKLOG_MILLIS = 50.0
    }
}
