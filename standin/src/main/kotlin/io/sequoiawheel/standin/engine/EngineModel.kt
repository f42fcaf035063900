/*
 * A model engine without I/O and without a clock of its own. The caller submits requests, calls `step` whenever the
 * previous step has ended, and hands the events on at the end of the step. It serves virtual time and real time alike.
 * It is not thread-safe; the caller serializes all calls.
 */
package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.standin.engine.internal.BlockMemory
import io.sequoiawheel.standin.engine.internal.LoadSamples
import io.sequoiawheel.standin.engine.internal.OrderBook
import io.sequoiawheel.standin.engine.internal.PrefixCache
import io.sequoiawheel.standin.engine.internal.Sequence
import io.sequoiawheel.standin.engine.internal.Warmth
import org.apache.commons.rng.simple.RandomSource
import java.util.PriorityQueue

/**
 * Continuous batching over a limited key-value memory. Memory that fills while decoding preempts the request of the
 * lowest priority that came last; it waits and recomputes its prompt and output. Times are milliseconds of the caller's
 * clock and must not go back.
 */
class EngineModel(
    private val settings: EngineSettings,
    private val lengths: OutputLengths,
    seed: Long,
    startsCold: Boolean = false,
) {
    private val memory = BlockMemory(settings)
    private val warmth = Warmth(settings.cold, settings.maximumConcurrent, startsCold)
    private val cache = PrefixCache(settings.cache, RandomSource.XO_RO_SHI_RO_128_PP.create(seed))
    private val orderBook = OrderBook(settings)
    private val samples = LoadSamples(settings.report)
    private val known = LinkedHashMap<RequestId, Sequence>()
    private val finished = ArrayDeque<Sequence>()
    private val waiting = PriorityQueue(Sequence.SERVICE_ORDER)
    private val running = ArrayList<Sequence>()
    private var submissions = 0L
    private var incarnation = 1
    private var downUntilMillis = Long.MIN_VALUE
    private var preemptions = 0L
    private var meanStepMillis = 0.0

    /** Identity of the current process of the engine; it changes with each restart. */
    val startId: String get() = "${settings.name}-$incarnation"

    /** Preemptions since the process started, without the lag of the load report. */
    val preemptionCount: Long get() = preemptions

    /** Requests in the batch now, without the lag of the load report. */
    val runningCount: Int get() = running.size

    /** Requests that wait inside the engine now, without the lag of the load report. */
    val waitingCount: Int get() = waiting.size

    /** Tokens in the key-value memory now, without the lag of the load report. */
    val memoryTokens: Long get() = memory.usedTokens

    /** Whether the engine does not listen because it is restarting. */
    fun isDown(nowMillis: Long): Boolean = nowMillis < downUntilMillis

    /** Hands in a generation. If the engine was idle, the caller calls [step] next. */
    fun submit(
        request: ModelRequest,
        nowMillis: Long,
    ): Submission {
        refusalOf(request, nowMillis)?.let { return it }
        val sequence = Sequence(request, lengths.draw(request), submissions++)
        known[request.generation] = sequence
        waiting += sequence
        return Submission.ACCEPTED
    }

    /** Runs one step that starts now. */
    fun step(nowMillis: Long): StepResult {
        forgetFinished(nowMillis)
        if (isDown(nowMillis)) return StepResult.IDLE
        admitWaiting()
        if (running.isEmpty()) return StepResult.IDLE
        if (warmth.recordStep(running.size)) return StepResult(0.0, crash(nowMillis))
        val events = ArrayList<ModelEvent>(running.size + 2)
        makeRoom(events)
        val batch = running.count { it.prefillRemaining == 0 }
        val prefilled = prefill(nowMillis)
        val duration = stepMillis(batch, prefilled)
        decode(events, nowMillis + duration.toLong())
        meanStepMillis += (duration - meanStepMillis) * STEP_SMOOTHING
        if (samples.isDue(nowMillis)) samples.add(currentLoad(nowMillis), nowMillis)
        return StepResult(duration, events)
    }

    /** Stops a generation and frees its memory; an unknown one is ignored. */
    fun cancel(generation: RequestId) {
        val sequence = known.remove(generation) ?: return
        if (sequence.isDone) return
        release(sequence)
        waiting.remove(sequence)
    }

    /** Returns what can be read of a generation, or null if it is unknown or its resume window has passed. */
    fun status(
        generation: RequestId,
        nowMillis: Long,
    ): GenerationStatus? {
        forgetFinished(nowMillis)
        return known[generation]?.let { GenerationStatus(it.produced, it.isDone) }
    }

    /** Returns the load report, which shows the state of a while ago. */
    fun loadReport(nowMillis: Long): LoadReport {
        if (samples.isDue(nowMillis)) samples.add(currentLoad(nowMillis), nowMillis)
        return samples.lagging(nowMillis)
    }

    /** Returns the cache events with numbers above [after] that are visible by now. */
    fun cacheEvents(
        after: Long,
        nowMillis: Long,
    ): List<CacheEvent> = cache.events(after, nowMillis)

    /** Takes an absolute order; returns false if its fencing number is old and this engine checks it. */
    fun takeOrder(
        target: String,
        fencing: Long,
        desired: String,
        nowMillis: Long,
    ): Boolean = orderBook.take(target, fencing, desired, nowMillis)

    /** Returns the orders taken so far, one per target. */
    fun orders(nowMillis: Long): List<EngineOrder> = orderBook.list(nowMillis)

    /** Makes a warm engine cold without a restart. */
    fun turnCold() = warmth.turnCold()

    /** Fails the process: every generation is lost, and a cold one with a new [startId] comes up later. */
    fun crash(nowMillis: Long): List<ModelEvent> {
        val lost = known.values.filterNot { it.isDone }.map { ModelEvent.Lost(it.request.generation) }
        running.forEach { memory.free(it) }
        running.clear()
        waiting.clear()
        known.clear()
        finished.clear()
        cache.reset()
        samples.clear()
        warmth.turnCold()
        preemptions = 0
        incarnation++
        downUntilMillis = nowMillis + settings.cold.restartMillis
        return lost
    }

    private fun refusalOf(
        request: ModelRequest,
        nowMillis: Long,
    ): Submission? =
        when {
            isDown(nowMillis) -> Submission.DOWN
            request.generation in known -> Submission.DUPLICATE
            !orderBook.isModelLoaded(request.model, nowMillis) -> Submission.MODEL_NOT_LOADED
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

    /** Grows every decoding sequence by one token, preempting others until the memory suffices. */
    private fun makeRoom(events: MutableList<ModelEvent>) {
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
        val warm =
            settings.stepBaseMillis +
                settings.stepPerSequenceMillis * batch +
                settings.stepPerKiloTokenMillis * memory.usedTokens / TOKENS_PER_KILO +
                settings.prefillMillisPerToken * prefilled
        return warm * warmth.slowdown
    }

    /** Produces one token for each sequence whose prompt is computed. */
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

    private fun forgetFinished(nowMillis: Long) {
        while (finished.isNotEmpty()) {
            if (nowMillis - finished.first().finishedAtMillis <= settings.resumeWindowMillis) return
            val expired = finished.removeFirst()
            if (known[expired.request.generation] === expired) known.remove(expired.request.generation)
        }
    }

    private fun currentLoad(nowMillis: Long) =
        LoadReport(
            startId = startId,
            cold = warmth.isCold,
            memoryTokens = memory.usedTokens,
            memoryCapacityTokens = settings.memoryTokens.toLong(),
            running = running.size,
            waiting = waiting.size,
            preemptions = preemptions,
            stepMillis = meanStepMillis,
            maximumConcurrent = settings.maximumConcurrent,
            models = orderBook.loadedModels(nowMillis),
        )

    companion object {
        /** Weight of the newest step in the reported mean; about the last ten steps count. */
        private const val STEP_SMOOTHING = 0.1
        private const val TOKENS_PER_KILO = 1000.0

        /** Returns the text of the token at [offset] of a generation, the same at each reading. */
        fun tokenText(
            generation: RequestId,
            offset: Int,
        ): String = "${generation.value.hashCode().toUInt().toString(TEXT_RADIX)}.$offset "

        private const val TEXT_RADIX = 36
    }
}
