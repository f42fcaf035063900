/*
 * A simulated model engine without I/O or its own clock, so that it works in virtual and in real time. The caller
 * submits requests, calls `step` whenever the previous step has ended, and publishes the returned events at the end of
 * the step. It is not thread-safe; the caller serializes all calls.
 */
package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.standin.engine.internal.BlockMemory
import io.sequoiawheel.standin.engine.internal.LoadSamples
import io.sequoiawheel.standin.engine.internal.OrderState
import io.sequoiawheel.standin.engine.internal.PrefixCache
import io.sequoiawheel.standin.engine.internal.Sequence
import io.sequoiawheel.standin.engine.internal.WarmupState
import org.apache.commons.rng.simple.RandomSource
import java.util.PriorityQueue

/**
 * Simulates continuous batching with a limited key-value memory. When the memory fills up during decoding, the engine
 * preempts the most recent request of the lowest priority, which is queued again and recomputes its prompt and output.
 * Times are milliseconds of the caller's clock and must not decrease.
 */
class EngineModel(
    private val settings: EngineSettings,
    private val lengths: OutputLengths,
    seed: Long,
    startsCold: Boolean = false,
) {
    private val memory = BlockMemory(settings)
    private val warmup = WarmupState(settings.cold, settings.maximumConcurrent, startsCold)
    private val cache = PrefixCache(settings.cache, RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
    private val orderState = OrderState(settings)
    private val samples = LoadSamples(settings.report)
    private val generations = LinkedHashMap<RequestId, Sequence>()
    private val finished = ArrayDeque<Sequence>()
    private val waiting = PriorityQueue(Sequence.SERVICE_ORDER)
    private val running = ArrayList<Sequence>()
    private var submissions = 0L
    private var incarnation = 1
    private var downUntilMillis = Long.MIN_VALUE
    private var preemptions = 0L
    private var meanStepMillis = 0.0

    /** Id of the current engine process; it changes with each restart. */
    val startId: String get() = "${settings.name}-$incarnation"

    /** Preemptions since the process started. Unlike the load report, this value has no lag. */
    val preemptionCount: Long get() = preemptions

    /** Requests in the current batch. Unlike the load report, this value has no lag. */
    val runningCount: Int get() = running.size

    /** Requests queued in the engine. Unlike the load report, this value has no lag. */
    val waitingCount: Int get() = waiting.size

    /** Tokens in the key-value memory. Unlike the load report, this value has no lag. */
    val memoryTokens: Long get() = memory.usedTokens

    /** Whether the engine is restarting and does not accept requests. */
    fun isDown(nowMillis: Long): Boolean = nowMillis < downUntilMillis

    /** Submits a generation. If the engine was idle, the caller must call [step] next. */
    fun submit(
        request: ModelRequest,
        nowMillis: Long,
    ): Submission {
        findRefusal(request, nowMillis)?.let { return it }
        val sequence = Sequence(request, lengths.draw(request), submissions++)
        generations[request.generation] = sequence
        waiting += sequence
        return Submission.ACCEPTED
    }

    /** Runs one step that starts at [nowMillis]. */
    fun step(nowMillis: Long): StepResult {
        evictFinished(nowMillis)
        if (isDown(nowMillis)) return StepResult.IDLE
        admitWaiting()
        if (running.isEmpty()) return StepResult.IDLE
        if (warmup.recordStep(running.size)) return StepResult(0.0, crash(nowMillis))
        val events = ArrayList<ModelEvent>(running.size + 2)
        growOrPreempt(events)
        val batch = running.count { it.prefillRemaining == 0 }
        val prefilled = prefill(nowMillis)
        val duration = stepMillis(batch, prefilled)
        decode(events, nowMillis + duration.toLong())
        meanStepMillis += (duration - meanStepMillis) * STEP_SMOOTHING
        if (samples.isDue(nowMillis)) samples.add(currentLoad(nowMillis), nowMillis)
        return StepResult(duration, events)
    }

    /** Cancels a generation and frees its memory; an unknown id is ignored. */
    fun cancel(generation: RequestId) {
        val sequence = generations.remove(generation) ?: return
        if (sequence.isDone) return
        release(sequence)
        waiting.remove(sequence)
    }

    /** Returns the status of a generation, or null if it is unknown or its resume window has expired. */
    fun status(
        generation: RequestId,
        nowMillis: Long,
    ): GenerationStatus? {
        evictFinished(nowMillis)
        return generations[generation]?.let { GenerationStatus(it.produced, it.isDone) }
    }

    /** Returns the load report, which lags behind the current state by [EngineSettings.Report.lagMillis]. */
    fun loadReport(nowMillis: Long): LoadReport {
        if (samples.isDue(nowMillis)) samples.add(currentLoad(nowMillis), nowMillis)
        return samples.delayedReport(nowMillis)
    }

    /** Returns the published cache events with numbers above [after]. */
    fun cacheEvents(
        after: Long,
        nowMillis: Long,
    ): List<CacheEvent> = cache.events(after, nowMillis)

    /** Applies an order for an absolute state; returns false if this engine checks fencing and the number is stale. */
    fun acceptOrder(
        target: String,
        fencing: Long,
        desired: String,
        nowMillis: Long,
    ): Boolean = orderState.accept(target, fencing, desired, nowMillis)

    /** Returns the latest accepted order of each target. */
    fun orders(nowMillis: Long): List<EngineOrder> = orderState.list(nowMillis)

    /** Resets the warm-up progress without a restart. */
    fun turnCold() = warmup.turnCold()

    /**
     * Crashes the process, which loses all generations. After the restart time it runs again, cold and with a new
     * [startId].
     */
    fun crash(nowMillis: Long): List<ModelEvent> {
        val lost = generations.values.filterNot { it.isDone }.map { ModelEvent.Lost(it.request.generation) }
        running.forEach { memory.free(it) }
        running.clear()
        waiting.clear()
        generations.clear()
        finished.clear()
        cache.reset()
        samples.clear()
        warmup.turnCold()
        preemptions = 0
        incarnation++
        downUntilMillis = nowMillis + settings.cold.restartMillis
        return lost
    }

    private fun findRefusal(
        request: ModelRequest,
        nowMillis: Long,
    ): Submission? =
        when {
            isDown(nowMillis) -> Submission.DOWN
            request.generation in generations -> Submission.DUPLICATE
            !orderState.isModelLoaded(request.model, nowMillis) -> Submission.MODEL_NOT_LOADED
            request.promptTokens + request.maximumTokens > settings.memoryTokens -> Submission.TOO_LARGE
            else -> null
        }

    private fun admitWaiting() {
        while (running.size < settings.maximumConcurrent) {
            val next = waiting.peek() ?: return
            if (!memory.fits(next.tokens + 1, running.isEmpty())) return
            waiting.poll()
            memory.grow(next, next.tokens + 1)
            val cached = cache.matchingBlocks(next.request.promptBlocks) * settings.blockTokens
            next.prefillRemaining = maxOf(1, next.tokens - cached)
            next.isRunning = true
            running += next
        }
    }

    /** Allocates memory for one more token of each running sequence, preempting sequences while there is not enough. */
    private fun growOrPreempt(events: MutableList<ModelEvent>) {
        for (sequence in running.toTypedArray()) {
            while (sequence.isRunning && !memory.grow(sequence, sequence.tokens + 1)) {
                preempt(running.maxWith(Sequence.SERVICE_ORDER), events)
            }
        }
    }

    private fun preempt(
        victim: Sequence,
        events: MutableList<ModelEvent>,
    ) {
        release(victim)
        waiting += victim
        preemptions++
        events += ModelEvent.Preempted(victim.request.generation)
    }

    private fun release(sequence: Sequence) {
        if (!sequence.isRunning) return
        memory.free(sequence)
        sequence.isRunning = false
        running.remove(sequence)
    }

    private fun prefill(nowMillis: Long): Int {
        var budget = settings.prefillTokensPerStep
        for (sequence in running) {
            if (budget == 0) break
            if (sequence.prefillRemaining == 0) continue
            val chunk = minOf(budget, sequence.prefillRemaining)
            sequence.prefillRemaining -= chunk
            budget -= chunk
            if (sequence.prefillRemaining == 0) cache.store(sequence.request.promptBlocks, nowMillis)
        }
        return settings.prefillTokensPerStep - budget
    }

    private fun stepMillis(
        batch: Int,
        prefilled: Int,
    ): Double {
        val warmMillis =
            settings.stepBaseMillis +
                settings.stepPerSequenceMillis * batch +
                settings.stepPerKiloTokenMillis * memory.usedTokens / TOKENS_PER_KILO +
                settings.prefillMillisPerToken * prefilled
        return warmMillis * warmup.slowdown
    }

    /** Produces one token for each sequence whose prefill is complete. */
    private fun decode(
        events: MutableList<ModelEvent>,
        endMillis: Long,
    ) {
        var hasFinished = false
        for (sequence in running) {
            if (sequence.prefillRemaining > 0) continue
            events += ModelEvent.Token(sequence.request.generation, sequence.produced)
            sequence.produced++
            if (sequence.produced < sequence.length) continue
            hasFinished = true
            finish(sequence, endMillis)
            events += ModelEvent.Done(sequence.request.generation, sequence.produced)
        }
        if (hasFinished) running.removeIf { it.isDone }
    }

    private fun finish(
        sequence: Sequence,
        endMillis: Long,
    ) {
        memory.free(sequence)
        sequence.isRunning = false
        sequence.isDone = true
        sequence.finishedAtMillis = endMillis
        finished.addLast(sequence)
    }

    private fun evictFinished(nowMillis: Long) {
        while (finished.isNotEmpty()) {
            if (nowMillis - finished.first().finishedAtMillis <= settings.resumeWindowMillis) return
            val expired = finished.removeFirst()
            if (generations[expired.request.generation] === expired) generations.remove(expired.request.generation)
        }
    }

    private fun currentLoad(nowMillis: Long) =
        LoadReport(
            startId = startId,
            cold = warmup.isCold,
            memoryTokens = memory.usedTokens,
            memoryCapacityTokens = settings.memoryTokens.toLong(),
            running = running.size,
            waiting = waiting.size,
            preemptions = preemptions,
            stepMillis = meanStepMillis,
            maximumConcurrent = settings.maximumConcurrent,
            models = orderState.loadedModels(nowMillis),
        )

    companion object {
        /** Weight of the latest step in the moving average, which thus covers about the last ten steps. */
        private const val STEP_SMOOTHING = 0.1
        private const val TOKENS_PER_KILO = 1000.0

        /** Returns the text of the token at [offset]; it depends only on the generation id and the offset. */
        fun tokenText(
            generation: RequestId,
            offset: Int,
        ): String = "${generation.value.hashCode().toUInt().toString(TEXT_RADIX)}.$offset "

        private const val TEXT_RADIX = 36
    }
}
