package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.admission.MemoryPredictor
import io.sequoiawheel.core.admission.RunningEstimate
import io.sequoiawheel.standin.engine.EngineModel
import io.sequoiawheel.standin.engine.EngineSettings
import io.sequoiawheel.standin.engine.ModelEvent
import io.sequoiawheel.standin.engine.OutputLengths

/**
 * Measures the throughput that one engine sustains without preemption. Requests of an endless backlog are admitted in
 * order of arrival, each as soon as the peak memory, computed from the actual output lengths, fits the engine's memory.
 * Load 1.0 of an experiment is this rate times the number of replicas.
 */
class CapacityProbe(
    private val workload: Workload,
    private val settings: EngineSettings,
) {
    private class Running(
        val arrival: Arrival,
        val length: Int,
    ) {
        var produced = 0
    }

    /** Returns the completed requests per second of one engine. */
    fun requestsPerSecond(): Double {
        val lengths = workload.lengths(PROBE_SEED)
        val engine = EngineModel(settings, lengths, PROBE_SEED)
        val backlog = ArrayDeque(workload.arrivals(PROBE_SEED, BACKLOG_RATE, PROBE_MILLIS, entries = 1))
        val running = HashMap<String, Running>()
        var now = 0.0
        var completed = 0
        while (now < PROBE_MILLIS) {
            admit(engine, lengths, backlog, running, now)
            val result = engine.step(now.toLong())
            now += result.durationMillis
            result.events.forEach { event ->
                when (event) {
                    is ModelEvent.Token -> running.getValue(event.generation.value).produced++
                    is ModelEvent.Done -> running.remove(event.generation.value)
                    else -> error("the probe must not preempt: $event")
                }
                if (event is ModelEvent.Done && now >= PROBE_WARM_UP_MILLIS) completed++
            }
        }
        return completed / (PROBE_MILLIS - PROBE_WARM_UP_MILLIS) * MILLIS_PER_SECOND
    }

    private fun admit(
        engine: EngineModel,
        lengths: OutputLengths,
        backlog: ArrayDeque<Arrival>,
        running: MutableMap<String, Running>,
        now: Double,
    ) {
        while (running.size < settings.maximumConcurrent) {
            val next = backlog.first()
            val candidate = Running(next, lengths.draw(next.request))
            val peak = MemoryPredictor.peakTokens((running.values + candidate).map { estimate(it) })
            if (peak > settings.memoryTokens * (1 - settings.reserveShare)) return
            backlog.removeFirst()
            running[next.request.generation.value] = candidate
            engine.submit(next.request, now.toLong())
        }
    }

    /** Adds a whole block, because the last block is half empty on average and may hold only one token. */
    private fun estimate(running: Running) =
        RunningEstimate(
            running.arrival.request.promptTokens + running.produced + settings.blockTokens,
            running.length - running.produced,
        )

    private companion object {
        const val PROBE_SEED = 20_261L
        const val PROBE_MILLIS = 1_500_000.0
        const val PROBE_WARM_UP_MILLIS = 120_000.0

        /** Requests per second in the backlog; more than any engine serves. */
        const val BACKLOG_RATE = 20.0
        const val MILLIS_PER_SECOND = 1000.0
    }
}
