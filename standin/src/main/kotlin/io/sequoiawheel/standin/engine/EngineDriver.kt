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
 * Runs one [EngineModel] in real time and publishes its tokens at the end of each step. This class is thread-safe.
 *
 * @param clock real time in milliseconds
 * @param timeScale speed of the engine relative to real time; 1.0 is real time
 * @param onCrash called when the engine crashes because of overload
 */
class EngineDriver(
    private val model: EngineModel,
    private val clock: Clock,
    private val timeScale: Double,
    private val onCrash: () -> Unit,
    private val observer: BackendObserver = BackendObserver,
) {
    private val mutex = Mutex()
    private val submissions = Channel<Unit>(Channel.CONFLATED)
    private val logs = ConcurrentHashMap<RequestId, MutableStateFlow<GenerationLog>>()

    init {
        require(timeScale > 0) { "timeScale must be positive" }
    }

    /** The output of each generation since this driver was created; a repeated id shows its latest run. */
    val generations: List<GenerationLog> get() = logs.values.map { it.value }

    /** Launches the step loop in [scope]. */
    fun launchIn(scope: CoroutineScope): Job = scope.launch { run() }

    /** Submits a generation and wakes the step loop. */
    suspend fun submit(request: ModelRequest): Submission {
        val submission =
            mutex.withLock {
                model.submit(request, now()).also {
                    if (it == Submission.ACCEPTED) createLog(request.generation)
                }
            }
        submissions.trySend(Unit)
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

    /** Applies an order; returns false if the engine checks fencing numbers and this one is stale. */
    suspend fun acceptOrder(
        target: String,
        fencing: Long,
        desired: String,
    ): Boolean = mutex.withLock { model.acceptOrder(target, fencing, desired, now()) }

    /** Returns the orders accepted so far. */
    suspend fun orders(): List<EngineOrder> = mutex.withLock { model.orders(now()) }

    /** Resets the warm-up progress of the engine without a restart. */
    suspend fun turnCold() = mutex.withLock { model.turnCold() }

    /** Simulates a crash of the engine process; all unfinished generations are lost. */
    suspend fun crash() = publish(mutex.withLock { model.crash(now()) })

    private fun createLog(generation: RequestId) {
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
                submissions.receive()
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
        val previous = log.getAndUpdate { if (it.end == null) it.copy(end = end) else it }
        if (previous.end == null) observer.onEnd(generation, null)
    }

    private fun now(): Long = (clock.nowMillis() * timeScale).toLong()

    private companion object {
        /** Maximum model time that the engine catches up on at once after the process was paused. */
        const val MAXIMUM_BACKLOG_MILLIS = 50.0
    }
}
