package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.apache.commons.rng.UniformRandomProvider

/**
 * Runs the background loops of an instance and starts a loop that failed again, with backoff, since the instance goes
 * on serving with the state that the loop keeps. Confined to the event loop.
 *
 * A loop that ran out of memory starts again once, after the longest backoff, since the memory may have been needed for
 * a moment only. After a second time within [EXHAUSTION_WINDOW_MILLIS] it stays ended and [onExhausted] is called: the
 * instance would go on serving with a state that no loop keeps, or fail in the same way for ever.
 *
 * @param reading what is being read from the store, for the log line of a failure
 * @param onExhausted called when the process has to end, since a loop runs out of memory again and again
 */
internal class LoopSupervisor(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
    private val reading: () -> Map<String, Any?> = { emptyMap() },
    private val onExhausted: () -> Unit = {},
) {
    private val backoff = Backoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS)

    /** Whether a loop stays ended since it ran out of memory again and again. */
    var isExhausted = false
        private set

    /** Runs [body] until it returns or the job is cancelled. [name] is one of few, as a label of metrics. */
    fun start(
        name: String,
        body: suspend () -> Unit,
    ): Job =
        scope.launch {
            var failures = 0
            var exhaustedAtMillis: Long? = null
            while (true) {
                val startedAtMillis = clock.nowMillis()
                try {
                    return@launch body()
                } catch (exhausted: OutOfMemoryError) {
                    ensureActive()
                    record(name, ++failures, exhausted)
                    val nowMillis = clock.nowMillis()
                    if (exhaustedAtMillis?.let { nowMillis - it < EXHAUSTION_WINDOW_MILLIS } == true) {
                        return@launch end(name)
                    }
                    exhaustedAtMillis = nowMillis
                    failures = maxOf(failures, FAILURES_OF_LONGEST_BACKOFF)
                } catch (failure: Throwable) {
                    // A cancellation that does not come from this job, such as that of a call, is a failure too.
                    ensureActive()
                    if (clock.nowMillis() - startedAtMillis >= STABLE_MILLIS) failures = 0
                    record(name, ++failures, failure)
                }
                delay(backoff.delayMillis(failures, random))
            }
        }

    private fun record(
        name: String,
        failures: Int,
        failure: Throwable,
    ) {
        metrics.count("loops.failed", name)
        log.dependency(
            "background loop failed, starting again",
            mapOf(
                "loop" to name,
                "failures" to failures,
                "detail" to failure.toString(),
                "at" to failure.stackTrace.take(SHOWN_FRAMES).joinToString(" < "),
            ) + reading(),
        )
    }

    private fun end(name: String) {
        isExhausted = true
        metrics.count("loops.ended", name)
        log.lifecycle("memory exhausted, instance ends", mapOf("loop" to name))
        onExhausted()
    }

    private companion object {
        const val INITIAL_BACKOFF_MILLIS = 100L
        const val MAXIMUM_BACKOFF_MILLIS = 2_000L

        /** A loop that ran this long before it failed starts again with the shortest backoff. */
        const val STABLE_MILLIS = 10_000L
        const val EXHAUSTION_WINDOW_MILLIS = 60_000L

        /** The backoff doubles with each failure from [INITIAL_BACKOFF_MILLIS]. */
        const val FAILURES_OF_LONGEST_BACKOFF = 6
        const val SHOWN_FRAMES = 3
    }
}
